#pragma once

/// All events that the decision code handles.

#include "AttemptSilent.h"
#include "BlockedPartsListed.h"
#include "CacheEvents.h"
#include "CrashReported.h"
#include "CrashSignatureReported.h"
#include "CrashedPromptReported.h"
#include "DecodeFailed.h"
#include "DecodeFinished.h"
#include "DecodeStarted.h"
#include "DrainStarted.h"
#include "FallbackEnded.h"
#include "FallbackFinished.h"
#include "HarmlessPartsReported.h"
#include "PartTrialAllowed.h"
#include "PeerUsage.h"
#include "PrefillDone.h"
#include "PrefillFailed.h"
#include "ProcessEnded.h"
#include "ReplacementFailed.h"
#include "ReplacementRefused.h"
#include "ReplacementReserved.h"
#include "ReplicaChanged.h"
#include "ReplicaLimited.h"
#include "ReplicaLoad.h"
#include "ReplicaPaused.h"
#include "ReplicaSpeedReported.h"
#include "RequestArrived.h"
#include "RequestCancelled.h"
#include "SlotRefused.h"
#include "SlotReserved.h"
#include "StreamBound.h"
#include "Tick.h"
#include "TokensEmitted.h"

#include <variant>

namespace jayhold {

using DecisionEvent = std::variant<
    RequestArrived,
    PrefillDone,
    PrefillFailed,
    DecodeStarted,
    TokensEmitted,
    DecodeFinished,
    DecodeFailed,
    AttemptSilent,
    StreamBound,
    RequestCancelled,
    SlotReserved,
    SlotRefused,
    ReplacementReserved,
    ReplacementRefused,
    ReplacementFailed,
    FallbackEnded,
    FallbackFinished,
    ReplicaChanged,
    ReplicaLimited,
    ReplicaPaused,
    ReplicaLoad,
    ReplicaSpeedReported,
    PeerUsage,
    CacheEvents,
    CrashSignatureReported,
    CrashReported,
    ProcessEnded,
    CrashedPromptReported,
    HarmlessPartsReported,
    BlockedPartsListed,
    PartTrialAllowed,
    DrainStarted,
    Tick>;

}
