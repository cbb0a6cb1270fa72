#pragma once

/// Event: a peer had a request without an answer on an engine that crashed.

#include "CrashedPrompt.h"

namespace jayhold {

struct CrashedPromptReported {
    CrashedPrompt prompt;
};

}
