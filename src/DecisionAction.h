#pragma once

/// All actions that the decision code can request.

#include "CancelOnReplica.h"
#include "CheckProcess.h"
#include "CrashEvidenceDropped.h"
#include "Refuse.h"
#include "ReleaseReplacement.h"
#include "ReplicaReturned.h"
#include "ReportCrash.h"
#include "ReportCrashSignature.h"
#include "ReportCrashedPrompt.h"
#include "ReportHarmlessParts.h"
#include "ReserveReplacement.h"
#include "ReturnToFallback.h"
#include "StartDecode.h"
#include "StartPrefill.h"
#include "UpdateBlockedPart.h"
#include "WakeAt.h"

#include <variant>

namespace jayhold {

using DecisionAction = std::variant<
    StartPrefill,
    StartDecode,
    Refuse,
    CancelOnReplica,
    ReserveReplacement,
    ReleaseReplacement,
    ReturnToFallback,
    ReportCrashSignature,
    ReportCrash,
    CheckProcess,
    ReportCrashedPrompt,
    ReportHarmlessParts,
    CrashEvidenceDropped,
    ReplicaReturned,
    UpdateBlockedPart,
    WakeAt>;

}
