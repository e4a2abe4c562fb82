package controller

import (
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/policy"
)

// ended translates the cause of a REL that ended a set-up into the module's words. The one who released tells where on
// the way a processor was full: the tandem's own (LocationTransit) or the one beyond it (docs/design/controller.md).
func ended(cause isup.Cause, loc isup.Location, direct bool) (policy.Cause, policy.Reason) {
	switch cause {
	case isup.CauseUserBusy:
		return policy.Failed, policy.NumberBusy
	case isup.CauseNoUser, isup.CauseNoAnswer:
		return policy.Failed, policy.NoAnswer
	case isup.CauseNoCircuit, isup.CauseNotAvailable, 47: // 47: resource unavailable, unspecified
		if direct {
			return policy.NotSetUp, policy.NoCircuit
		}
		return policy.NotSetUp, policy.Crankback
	case isup.CauseCongestion:
		if !direct && loc == isup.LocationNetwork {
			return policy.NotSetUp, policy.CrankbackFull
		}
		return policy.NotSetUp, policy.ProcessorFull
	case isup.CauseOutOfOrder, isup.CauseNetworkDown, isup.CauseNoRoute:
		if direct {
			return policy.NotSetUp, policy.NoReason
		}
		return policy.NotSetUp, policy.Crankback
	}
	return policy.Failed, policy.NoReason
}

// told is the cause that the caller is told when an attempt has ended without a REL.
func told(cause policy.Cause, reason policy.Reason) isup.Cause {
	switch cause {
	case policy.TimedOut:
		if reason == policy.NoAnswer {
			return isup.CauseNoAnswer
		}
		return isup.CauseTimer
	case policy.NoContact:
		return isup.CauseOutOfOrder
	case policy.Reset:
		return isup.CauseTemporary
	case policy.NotSent:
		if reason == policy.NoCircuit {
			return isup.CauseNoCircuit
		}
	}
	return isup.CauseCongestion
}

// clears tells whether the end of a standing call is an ordinary hang-up.
func clears(cause isup.Cause) bool { return cause == isup.CauseNormal }
