package controller

import (
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/policy"
)

// attemptResult translates the cause of a REL that ended a set-up into the policy engine's terms. With cause 42 the location
// shows whose processor was full: that of the tandem (LocationTransit) or that of the destination beyond it
// (docs/design/controller.md).
func attemptResult(cause isup.Cause, location isup.Location, direct bool) (policy.Cause, policy.Reason) {
	switch cause {
	case isup.CauseUserBusy:
		return policy.Failed, policy.NumberBusy
	case isup.CauseNoUserResponding, isup.CauseNoAnswer:
		return policy.Failed, policy.NoAnswer
	case isup.CauseNoCircuit, isup.CauseCircuitNotAvailable, 47: // 47: resource unavailable, unspecified
		if direct {
			return policy.NotSetUp, policy.NoCircuit
		}
		return policy.NotSetUp, policy.Crankback
	case isup.CauseCongestion:
		if !direct && location == isup.LocationNetwork {
			return policy.NotSetUp, policy.CrankbackFull
		}
		return policy.NotSetUp, policy.ProcessorFull
	case isup.CauseDestinationOutOfOrder, isup.CauseNetworkOutOfOrder, isup.CauseNoRoute:
		if direct {
			return policy.NotSetUp, policy.NoReason
		}
		return policy.NotSetUp, policy.Crankback
	}
	return policy.Failed, policy.NoReason
}

// callerCause returns the cause that the caller receives for an attempt that ended without a REL.
func callerCause(cause policy.Cause, reason policy.Reason) isup.Cause {
	switch cause {
	case policy.TimedOut:
		if reason == policy.NoAnswer {
			return isup.CauseNoAnswer
		}
		return isup.CauseTimerExpiry
	case policy.NoContact:
		return isup.CauseDestinationOutOfOrder
	case policy.Reset:
		return isup.CauseTemporary
	case policy.NotSent:
		if reason == policy.NoCircuit {
			return isup.CauseNoCircuit
		}
	}
	return isup.CauseCongestion
}

// isNormalClearing reports whether the cause is that of a normal hang-up; an established call with any other cause was cut.
func isNormalClearing(cause isup.Cause) bool { return cause == isup.CauseNormal }
