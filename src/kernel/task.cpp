#include "kernel/task.h"

namespace almond::kernel {

namespace {

std::function<void(const std::string &error)> &failureHandler()
{
    static std::function<void(const std::string &error)> handler;
    return handler;
}

} // namespace

void setTaskFailureHandler(std::function<void(const std::string &error)> handler)
{
    failureHandler() = std::move(handler);
}

void reportTaskFailure(const std::exception_ptr &failure)
{
    if (!failureHandler())
        std::rethrow_exception(failure);
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        failureHandler()(error.what());
    } catch (...) {
        failureHandler()("not a standard exception");
    }
}

} // namespace almond::kernel
