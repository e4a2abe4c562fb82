package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// ring gives a day ringing numbers and, unless it is quiet, mostly thin faults too. Its chance is a stream of its own, so
// that the day is the same without them.
func (d *Scenario) ring(quiet bool) {
	rng := rand.New(rand.NewPCG(d.Seed, 0x41))
	between := func(a, b float64) float64 { return math.Round(100*(a+(b-a)*rng.Float64())) / 100 }
	for i := range d.Traffic.Classes {
		c := &d.Traffic.Classes[i]
		c.Ring = time.Duration(12+rng.IntN(9)) * time.Second
		c.Ringing = emulator.Ringing{Median: time.Duration(between(1.5, 5) * float64(time.Second)), Spread: between(0.3, 0.7),
			NoAnswer: between(0.01, 0.05), Busy: between(0, 0.02)}
	}
	kinds := []FaultKind{CallFaultFull, CallFaultSilent, CallFaultReset}
	if x := rng.IntN(4); x < len(kinds) && !quiet {
		d.Faults = append(d.Faults, Fault{Kind: kinds[x], At: 2 * time.Second, For: d.Length, Fraction: between(0.3, 1), Size: between(0.01, 0.06)})
	}
}

// WithoutRinging is the day with numbers that answer at once, and without thin faults.
func (d Scenario) WithoutRinging() *Scenario {
	d.Traffic.Classes = slices.Clone(d.Traffic.Classes)
	for i := range d.Traffic.Classes {
		d.Traffic.Classes[i].Ring, d.Traffic.Classes[i].Ringing = 0, emulator.Ringing{}
	}
	d.Faults = slices.DeleteFunc(slices.Clone(d.Faults), func(x Fault) bool {
		return x.Kind == CallFaultFull || x.Kind == CallFaultSilent || x.Kind == CallFaultReset
	})
	return &d
}

// drawn are the kinds of trouble that Draw mixes; thin faults come beside them.
var drawn = slices.DeleteFunc(slices.Clone(FaultKinds), func(k FaultKind) bool { return k == CallFaultFull || k == CallFaultSilent || k == CallFaultReset })

// Generate draws a day from a seed: quiet, trouble (one to three troubles), overload (trouble with more calls than planned),
// or only:KIND. The same seed and kind give the same day.
func Generate(seed uint64, kind string) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	d := Default()
	d.Seed = seed
	d.Name = fmt.Sprintf("drawn-%s-%d", kind, seed)
	d.Length = 30 * time.Second
	between := func(a, b float64) float64 { return math.Round(100*(a+(b-a)*rng.Float64())) / 100 }
	span := func(a, b float64) time.Duration { return time.Duration(between(a, b) * float64(time.Second)) }
	d.Network.Exchanges = 5 + rng.IntN(3)
	d.Network.SameRegionDelay = time.Duration(1+rng.IntN(5)) * time.Millisecond
	d.Network.CrossRegionDelay = time.Duration(8+rng.IntN(14)) * time.Millisecond
	d.Network.SpareCircuits = between(1, 2)
	d.Network.Unlinked = between(0, 0.3)
	d.Network.Switch.Utilisation = between(0.65, 0.85)
	d.Network.Switch.AnswersFirst = rng.IntN(2) == 0
	d.Network.Switch.DropAbandoned = rng.IntN(2) == 0
	d.Network.Switch.FullAfter = span(1.4, 3.4)
	if rng.IntN(2) == 0 {
		d.Network.Switch.Repeat = 0
	}
	d.Traffic.Planned = 10 * float64(d.Network.Exchanges)
	d.Traffic.Redials = rng.IntN(3)
	if rng.IntN(2) == 0 {
		d.Traffic.Tenants = []Tenant{{"city", 0.5}, {"town", 0.3}, {"ward", 0.2}}
	}
	n := 1 + rng.IntN(3)
	var kinds []FaultKind
	switch {
	case kind == "quiet":
		n = 0
		d.Traffic.Load = between(0.6, 0.75)
	case kind == "trouble":
		d.Traffic.Load = between(0.85, 0.95)
	case kind == "overload":
		d.Traffic.Load = between(1.1, 1.2)
	case len(kind) > 5 && kind[:5] == "only:" && slices.Contains(FaultKinds, FaultKind(kind[5:])):
		d.Traffic.Load = between(0.8, 0.9)
		n, kinds = 1, []FaultKind{FaultKind(kind[5:])}
	default:
		return nil, fmt.Errorf("%q is no kind of day; quiet, trouble, overload or only:KIND can be, KIND one of %v", kind, FaultKinds)
	}
	for i := range n {
		k := drawn[rng.IntN(len(drawn))]
		if i < len(kinds) {
			k = kinds[i]
		}
		x := Fault{Kind: k, At: span(3, 12), For: span(6, 14), Fraction: between(0.15, 0.4)}
		switch k {
		case LoadJump:
			x.Size = between(1.3, 1.8)
		case Slow:
			x.Size = between(2, 4)
		case Ageing:
			x.Size, x.Fraction = between(6, 15), between(0.15, 0.25)
		case CircuitsLost:
			x.Size = between(0.3, 0.6)
		case CallsCut:
			x.Size, x.For = between(0.2, 0.5), 3*time.Second
		case ControllerStall:
			x.For = span(1, 2)
		case MassCalling:
			x.Size = between(0.1, 0.3)
		case Impatient:
			x.Size = between(0.1, 0.3)
		case ClientFlood:
			x.Size = between(4, 10)
			d.Traffic.Tenants, d.Traffic.AdmissionLimit = []Tenant{{"city", 0.2}, {"town", 0.4}, {"ward", 0.4}}, 1.2
		case ListLate:
			x.Size, x.For, x.At = between(3, 8), d.Length, 0
		case CallFaultFull, CallFaultSilent, CallFaultReset:
			x.Size, x.Fraction = between(0.01, 0.1), 1
		case Replace:
			x.For = span(8, 12)
		case AssocReset:
			x.For = time.Second
		}
		d.Faults = append(d.Faults, x)
	}
	if kind == "only:"+string(ListLate) { // late word of something
		d.Faults = append(d.Faults, Fault{Kind: Crash, At: 5 * time.Second, For: 8 * time.Second, Fraction: 0.2})
	}
	d.ring(kind == "quiet" || len(kinds) > 0)
	return &d, nil
}

// OverlappingFaults is the built-in bad day: six exchanges, six and more troubles that overlap.
func OverlappingFaults() *Scenario {
	d := Default()
	d.Name, d.Length, d.Seed = "bad-day", 45*time.Second, 7
	d.Traffic.Load = 0.95
	d.Traffic.Tenants = []Tenant{{"city", 0.5}, {"town", 0.3}, {"ward", 0.2}}
	s := time.Second
	d.Faults = []Fault{
		{Kind: LoadJump, At: 5 * s, For: 12 * s, Size: 1.4},
		{Kind: Slow, At: 7 * s, For: 12 * s, Fraction: 0.34, Size: 3},
		{Kind: Crash, At: 10 * s, For: 6 * s, Fraction: 0.17},
		{Kind: CallsCut, At: 12 * s, For: 3 * s, Size: 0.3},
		{Kind: ListLate, At: 8 * s, For: 25 * s, Size: 3},
		{Kind: CircuitsLost, At: 14 * s, For: 10 * s, Region: "seoul", Size: 0.5},
		{Kind: Hang, At: 20 * s, For: 7 * s, Fraction: 0.17},
		{Kind: ControllerStall, At: 23 * s, For: 1500 * time.Millisecond, Fraction: 0.34},
		{Kind: MassCalling, At: 22 * s, For: 10 * s, Size: 0.25},
		{Kind: AssocReset, At: 27 * s, For: s, Fraction: 0.34},
		{Kind: RegionCut, At: 30 * s, For: 5 * s, Region: "busan"},
		{Kind: Impatient, At: 30 * s, For: 10 * s, Size: 0.2},
		{Kind: CallFaultFull, At: 2 * s, For: 40 * s, Fraction: 0.5, Size: 0.02},
		{Kind: CallFaultSilent, At: 2 * s, For: 40 * s, Fraction: 0.5, Size: 0.02},
	}
	for i := range d.Traffic.Classes {
		d.Traffic.Classes[i].Ring = 15 * s
		d.Traffic.Classes[i].Ringing = emulator.Ringing{Median: 3 * s, Spread: 0.5, NoAnswer: 0.03, Busy: 0.01}
	}
	return &d
}

// NoFaults is a day without troubles.
func NoFaults() *Scenario {
	d := Default()
	d.Name, d.Length, d.Seed = "quiet-day", 25*time.Second, 3
	d.Traffic.Load = 0.65
	return &d
}

// Overload is a day at 120% of the planned load with a peak beyond that.
func Overload() *Scenario {
	d := Default()
	d.Name, d.Length, d.Seed = "overload-day", 30*time.Second, 5
	d.Traffic.Load = 1.2
	d.Faults = []Fault{{Kind: LoadJump, At: 10 * time.Second, For: 6 * time.Second, Size: 1.3}}
	return &d
}

// Builtin returns a built-in day by name; nil: there is none.
func Builtin(name string) *Scenario {
	switch name {
	case "bad-day":
		return OverlappingFaults()
	case "quiet-day":
		return NoFaults()
	case "overload-day":
		return Overload()
	}
	return nil
}
