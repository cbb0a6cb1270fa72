#include "Version.h"

namespace jayhold {

auto version() -> std::string_view
{
    return JAYHOLD_VERSION;
}

}
