package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Ringing describes how called subscribers respond to calls of one calling party's category.
type Ringing struct {
	Median   time.Duration `yaml:"median"`    // time from ACM to ANM; 0: calls are answered at once
	Spread   float64       `yaml:"spread"`    // sigma of the log-normal distribution of that time; 0: always the median
	NoAnswer float64       `yaml:"no_answer"` // share of calls that ring and are never answered
	Busy     float64       `yaml:"busy"`      // share of calls that find the subscriber busy
}

// Check returns an error if a value is not in its range.
func (r Ringing) Check() error {
	switch {
	case r.Median < 0 || r.Median > 5*time.Minute:
		return fmt.Errorf("median %v is not in the range of 0 to 5m", r.Median)
	case r.Spread < 0 || r.Spread > 3:
		return fmt.Errorf("spread %v is not in the range of 0 to 3", r.Spread)
	case r.NoAnswer < 0 || r.Busy < 0 || r.NoAnswer+r.Busy > 1:
		return fmt.Errorf("no_answer %v and busy %v: shares must not be negative or add up to more than 1", r.NoAnswer, r.Busy)
	}
	return nil
}

// calledParty is the response of the called subscriber to one call.
type calledParty struct {
	busy, noAnswer bool
	after          time.Duration // from ACM to ANM
}

// draw draws the response to one call.
func (r Ringing) draw(rng *rand.Rand) (party calledParty) {
	switch x := rng.Float64(); {
	case x < r.Busy:
		party.busy = true
	case x < r.Busy+r.NoAnswer:
		party.noAnswer = true
	default:
		party.after = r.Median
		if r.Spread > 0 {
			party.after = time.Duration(float64(r.Median) * math.Exp(r.Spread*rng.NormFloat64()))
		}
	}
	return party
}

// CallFault is a kind of fault of single set-ups at an otherwise healthy switch.
type CallFault uint8

// The kinds of call faults.
const (
	CallFaultFull     CallFault = iota // rejected with cause 42, as if the processor were overloaded
	CallFaultSilent                    // accepted and never answered
	CallFaultReset                     // the switch resets the circuit (RSC)
	CallFaultReleased                  // released with cause 41
	callFaultKinds
)

// SetCallFault sets the share of set-ups that fail with a kind of fault.
func (s *Switch) SetCallFault(kind CallFault, share float64) {
	s.post(func() { s.callFaultShares[kind] = share })
}

// drawCallFault draws whether a set-up fails with a call fault, and with which kind.
func (s *Switch) drawCallFault() (CallFault, bool) {
	x := -1.0
	for k, share := range s.callFaultShares {
		if share <= 0 {
			continue
		}
		if x < 0 {
			x = s.rng.Float64()
		}
		if x < share {
			return CallFault(k), true
		}
		x -= share
	}
	return 0, false
}
