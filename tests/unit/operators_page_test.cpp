#include "daemon/node_settings.h"
#include "settings/process_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

//! docs/OPERATIONS.md must list every setting with the default value and the limits in the code.
namespace {

using namespace almond;

std::string readOperationsDocument()
{
    std::ifstream file(std::string(ALMOND_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void expectDocumented(const std::vector<settings::field_description> &fields)
{
    const std::string document = readOperationsDocument();
    for (const settings::field_description &field : fields) {
        const std::string row
            = "| `" + field.path.substr(1) + "` | " + field.fallback + " | " + field.limits + " |";
        EXPECT_NE(document.find(row), std::string::npos) << row;
    }
}

TEST(OperatorsPage, NamesEverySettingOfTheGateway)
{
    expectDocumented(settings::readGatewaySettings(settings::json::object()).described);
}

TEST(OperatorsPage, NamesEverySettingOfTheNode)
{
    expectDocumented(daemon::readNodeSettings(settings::json::object()).described);
}

TEST(OperatorsPage, NamesEverySettingOfTheScheduler)
{
    expectDocumented(settings::readSchedulerSettings(settings::json::object()).described);
}

} // namespace
