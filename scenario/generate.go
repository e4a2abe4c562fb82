package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// addRinging gives the classes ringing times and, unless quiet, adds a call fault to three of four scenarios. It uses its
// own random source, so that the scenario is otherwise the same as without it.
func (sc *Scenario) addRinging(quiet bool) {
	rng := rand.New(rand.NewPCG(sc.Seed, 0x41))
	between := func(a, b float64) float64 { return math.Round(100*(a+(b-a)*rng.Float64())) / 100 }
	for i := range sc.Traffic.Classes {
		c := &sc.Traffic.Classes[i]
		c.Ring = time.Duration(12+rng.IntN(9)) * time.Second
		c.Ringing = emulator.Ringing{Median: time.Duration(between(1.5, 5) * float64(time.Second)), Spread: between(0.3, 0.7),
			NoAnswer: between(0.01, 0.05), Busy: between(0, 0.02)}
	}
	kinds := []FaultKind{CallFaultFull, CallFaultSilent, CallFaultReset}
	if kind := rng.IntN(4); kind < len(kinds) && !quiet {
		sc.Faults = append(sc.Faults, Fault{Kind: kinds[kind], At: 2 * time.Second, For: sc.Length, Fraction: between(0.3, 1), Size: between(0.01, 0.06)})
	}
}

// WithoutRinging returns a copy of the scenario in which numbers answer at once and switches have no call faults.
func (sc Scenario) WithoutRinging() *Scenario {
	sc.Traffic.Classes = slices.Clone(sc.Traffic.Classes)
	for i := range sc.Traffic.Classes {
		sc.Traffic.Classes[i].Ring, sc.Traffic.Classes[i].Ringing = 0, emulator.Ringing{}
	}
	sc.Faults = slices.DeleteFunc(slices.Clone(sc.Faults), func(fault Fault) bool {
		return fault.Kind == CallFaultFull || fault.Kind == CallFaultSilent || fault.Kind == CallFaultReset
	})
	return &sc
}

// drawnKinds are the kinds of faults that Generate combines; addRinging adds the call faults.
var drawnKinds = slices.DeleteFunc(slices.Clone(FaultKinds), func(k FaultKind) bool { return k == CallFaultFull || k == CallFaultSilent || k == CallFaultReset })

// Generate draws a scenario from a seed. The kind is quiet (no faults), trouble (one to three faults), overload (the same
// with more calls than planned) or only:KIND (one fault of a kind). The same seed and kind give the same scenario.
func Generate(seed uint64, kind string) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	scenario := Default()
	scenario.Seed = seed
	scenario.Name = fmt.Sprintf("drawn-%s-%d", kind, seed)
	scenario.Length = 30 * time.Second
	between := func(a, b float64) float64 { return math.Round(100*(a+(b-a)*rng.Float64())) / 100 }
	span := func(a, b float64) time.Duration { return time.Duration(between(a, b) * float64(time.Second)) }
	scenario.Network.Exchanges = 5 + rng.IntN(3)
	scenario.Network.SameRegionDelay = time.Duration(1+rng.IntN(5)) * time.Millisecond
	scenario.Network.CrossRegionDelay = time.Duration(8+rng.IntN(14)) * time.Millisecond
	scenario.Network.SpareCircuits = between(1, 2)
	scenario.Network.Unlinked = between(0, 0.3)
	scenario.Network.Switch.Utilisation = between(0.65, 0.85)
	scenario.Network.Switch.AnswersFirst = rng.IntN(2) == 0
	scenario.Network.Switch.DropAbandoned = rng.IntN(2) == 0
	scenario.Network.Switch.FullAfter = span(1.4, 3.4)
	if rng.IntN(2) == 0 {
		scenario.Network.Switch.Repeat = 0
	}
	scenario.Traffic.Planned = 10 * float64(scenario.Network.Exchanges)
	scenario.Traffic.Redials = rng.IntN(3)
	if rng.IntN(2) == 0 {
		scenario.Traffic.Tenants = []Tenant{{"city", 0.5}, {"town", 0.3}, {"ward", 0.2}}
	}
	n := 1 + rng.IntN(3)
	var kinds []FaultKind
	switch {
	case kind == "quiet":
		n = 0
		scenario.Traffic.Load = between(0.6, 0.75)
	case kind == "trouble":
		scenario.Traffic.Load = between(0.85, 0.95)
	case kind == "overload":
		scenario.Traffic.Load = between(1.1, 1.2)
	case len(kind) > 5 && kind[:5] == "only:" && slices.Contains(FaultKinds, FaultKind(kind[5:])):
		scenario.Traffic.Load = between(0.8, 0.9)
		n, kinds = 1, []FaultKind{FaultKind(kind[5:])}
	default:
		return nil, fmt.Errorf("%q is not one of quiet, trouble, overload and only:KIND, where KIND is one of %v", kind, FaultKinds)
	}
	for i := range n {
		k := drawnKinds[rng.IntN(len(drawnKinds))]
		if i < len(kinds) {
			k = kinds[i]
		}
		fault := Fault{Kind: k, At: span(3, 12), For: span(6, 14), Fraction: between(0.15, 0.4)}
		switch k {
		case LoadJump:
			fault.Size = between(1.3, 1.8)
		case Slow:
			fault.Size = between(2, 4)
		case Ageing:
			fault.Size, fault.Fraction = between(6, 15), between(0.15, 0.25)
		case CircuitsLost:
			fault.Size = between(0.3, 0.6)
		case CallsCut:
			fault.Size, fault.For = between(0.2, 0.5), 3*time.Second
		case ControllerStall:
			fault.For = span(1, 2)
		case MassCalling:
			fault.Size = between(0.1, 0.3)
		case Impatient:
			fault.Size = between(0.1, 0.3)
		case ClientFlood:
			fault.Size = between(4, 10)
			scenario.Traffic.Tenants, scenario.Traffic.AdmissionLimit = []Tenant{{"city", 0.2}, {"town", 0.4}, {"ward", 0.4}}, 1.2
		case ListLate:
			fault.Size, fault.For, fault.At = between(3, 8), scenario.Length, 0
		case CallFaultFull, CallFaultSilent, CallFaultReset:
			fault.Size, fault.Fraction = between(0.01, 0.1), 1
		case Replace:
			fault.For = span(8, 12)
		case AssocReset:
			fault.For = time.Second
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	if kind == "only:"+string(ListLate) { // without a crash there is no state update to delay
		scenario.Faults = append(scenario.Faults, Fault{Kind: Crash, At: 5 * time.Second, For: 8 * time.Second, Fraction: 0.2})
	}
	scenario.addRinging(kind == "quiet" || len(kinds) > 0)
	return &scenario, nil
}

// OverlappingFaults returns the built-in scenario bad-day: six exchanges and fourteen faults, many of which overlap.
func OverlappingFaults() *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "bad-day", 45*time.Second, 7
	scenario.Traffic.Load = 0.95
	scenario.Traffic.Tenants = []Tenant{{"city", 0.5}, {"town", 0.3}, {"ward", 0.2}}
	s := time.Second
	scenario.Faults = []Fault{
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
	for i := range scenario.Traffic.Classes {
		scenario.Traffic.Classes[i].Ring = 15 * s
		scenario.Traffic.Classes[i].Ringing = emulator.Ringing{Median: 3 * s, Spread: 0.5, NoAnswer: 0.03, Busy: 0.01}
	}
	return &scenario
}

// NoFaults returns the built-in scenario quiet-day, at 65% of the planned load.
func NoFaults() *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "quiet-day", 25*time.Second, 3
	scenario.Traffic.Load = 0.65
	return &scenario
}

// Overload returns the built-in scenario overload-day, at 120% of the planned load with a peak of 1.3 times that.
func Overload() *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "overload-day", 30*time.Second, 5
	scenario.Traffic.Load = 1.2
	scenario.Faults = []Fault{{Kind: LoadJump, At: 10 * time.Second, For: 6 * time.Second, Size: 1.3}}
	return &scenario
}

// Builtin returns the built-in scenario of a name, or nil.
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
