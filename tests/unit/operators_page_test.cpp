#include "daemon/node_settings.h"
#include "settings/process_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

//! The operators' page names every setting with the default and the limits that the code has.
namespace {

using namespace almond;

std::string operatorsPage()
{
    std::ifstream file(std::string(ALMOND_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void expectDocumented(const std::vector<settings::field_description> &fields)
{
    const std::string page = operatorsPage();
    for (const settings::field_description &field : fields) {
        const std::string row
            = "| `" + field.path.substr(1) + "` | " + field.fallback + " | " + field.limits + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
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
