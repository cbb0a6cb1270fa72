#pragma once

/// Action: report to the peers that a request without an answer was on an engine that crashed.

#include "CrashedPrompt.h"

namespace jayhold {

struct ReportCrashedPrompt {
    CrashedPrompt prompt;
};

}
