package controller

import (
	"github.com/umbergauge/umbergauge/brain"
	"github.com/umbergauge/umbergauge/isup"
)

// ended translates the cause of a REL that ended a set-up into the module's words. The one who released tells where on
// the way a processor was full: the tandem's own (LocationTransit) or the one beyond it (docs/design/controller.md).
func ended(cause isup.Cause, loc isup.Location, direct bool) (brain.Cause, brain.Reason) {
	switch cause {
	case isup.CauseUserBusy:
		return brain.Failed, brain.NumberBusy
	case isup.CauseNoUser, isup.CauseNoAnswer:
		return brain.Failed, brain.NoAnswer
	case isup.CauseNoCircuit, isup.CauseNotAvailable, 47: // 47: resource unavailable, unspecified
		if direct {
			return brain.NotSetUp, brain.NoCircuit
		}
		return brain.NotSetUp, brain.TurnedBack
	case isup.CauseCongestion:
		if !direct && loc == isup.LocationNetwork {
			return brain.NotSetUp, brain.TurnedBackFull
		}
		return brain.NotSetUp, brain.ProcessorFull
	case isup.CauseOutOfOrder, isup.CauseNetworkDown, isup.CauseNoRoute:
		if direct {
			return brain.NotSetUp, brain.NoReason
		}
		return brain.NotSetUp, brain.TurnedBack
	}
	return brain.Failed, brain.NoReason
}

// told is the cause that the caller is told when an attempt has ended without a REL.
func told(cause brain.Cause, reason brain.Reason) isup.Cause {
	switch cause {
	case brain.TimedOut:
		if reason == brain.NoAnswer {
			return isup.CauseNoAnswer
		}
		return isup.CauseTimer
	case brain.NoContact:
		return isup.CauseOutOfOrder
	case brain.Reset:
		return isup.CauseTemporary
	case brain.NotSent:
		if reason == brain.NoCircuit {
			return isup.CauseNoCircuit
		}
	}
	return isup.CauseCongestion
}

// clears tells whether the end of a standing call is an ordinary hang-up.
func clears(cause isup.Cause) bool { return cause == isup.CauseNormal }
