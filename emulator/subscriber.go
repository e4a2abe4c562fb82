package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Ringing is how the numbers of a class take calls.
type Ringing struct {
	Median   time.Duration `yaml:"median"`    // from ACM to ANM; 0: they answer at once
	Spread   float64       `yaml:"spread"`    // sigma of the log-normal distribution around it; 0: always the median
	NoAnswer float64       `yaml:"no_answer"` // share that rings and is never answered
	Busy     float64       `yaml:"busy"`      // share found busy
}

// Check says what is wrong with it, or nil.
func (r Ringing) Check() error {
	switch {
	case r.Median < 0 || r.Median > 5*time.Minute:
		return fmt.Errorf("a median of %v; 0 to 5m can be", r.Median)
	case r.Spread < 0 || r.Spread > 3:
		return fmt.Errorf("a spread of %v; 0 to 3 can be", r.Spread)
	case r.NoAnswer < 0 || r.Busy < 0 || r.NoAnswer+r.Busy > 1:
		return fmt.Errorf("no_answer %v and busy %v; shares of one whole can be", r.NoAnswer, r.Busy)
	}
	return nil
}

// subscriber is what one call meets.
type subscriber struct {
	busy, silent bool
	after        time.Duration // till ANM
}

func (r Ringing) draw(rng *rand.Rand) (s subscriber) {
	switch x := rng.Float64(); {
	case x < r.Busy:
		s.busy = true
	case x < r.Busy+r.NoAnswer:
		s.silent = true
	default:
		s.after = r.Median
		if r.Spread > 0 {
			s.after = time.Duration(float64(r.Median) * math.Exp(r.Spread*rng.NormFloat64()))
		}
	}
	return s
}

// CallFault is a kind of fault that befalls single set-ups at a switch that is otherwise well.
type CallFault uint8

// The kinds.
const (
	CallFaultFull     CallFault = iota // turned away as if its processor were full: cause 42
	CallFaultSilent                    // taken and never answered
	CallFaultReset                     // the circuit is reset (RSC)
	CallFaultReleased                  // released with cause 41
	thinKinds
)

// SetCallFault sets the share of set-ups that a kind of fault befalls.
func (s *Switch) SetCallFault(kind CallFault, share float64) { s.do(func() { s.thin[kind] = share }) }

// thinFault draws whether a set-up meets a thin fault.
func (s *Switch) thinFault() (CallFault, bool) {
	x := -1.0
	for k, share := range s.thin {
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
