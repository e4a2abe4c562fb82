// Package scenario runs scenarios, with traffic and injected faults, through real call controllers and emulated switches
// and clients, and evaluates them from the traffic on their sockets.
package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
)

// Scenario describes a network, its traffic and the faults that are injected. docs/operations/days.md explains each key.
type Scenario struct {
	Name    string        `yaml:"name"`
	Seed    uint64        `yaml:"seed"`
	Length  time.Duration `yaml:"length"`
	Network Network       `yaml:"fleet"`
	Traffic Traffic       `yaml:"traffic"`
	Rules   Rules         `yaml:"rules"`
	Faults  []Fault       `yaml:"troubles,omitempty"`
}

// Network describes the exchanges and what connects them.
type Network struct {
	Exchanges        int           `yaml:"exchanges"`
	Regions          []string      `yaml:"regions"`
	SameRegionDelay  time.Duration `yaml:"same_region"`   // one way
	CrossRegionDelay time.Duration `yaml:"cross_region"`  // one way
	BigExchange      float64       `yaml:"big,omitempty"` // share of all calls that the first exchange offers; 0: about as many as the others offer
	SpareCircuits    float64       `yaml:"spare"`         // circuits beyond the planned load, as a multiple of its square root
	PlanError        float64       `yaml:"missed"`        // error of the planned load, as a coefficient of variation
	Unlinked         float64       `yaml:"unlinked"`      // share of the pairs of exchanges without a trunk group
	Switch           Switch        `yaml:"switch"`
}

// Switch describes the switch of every exchange and its processor.
type Switch struct {
	Utilisation   float64       `yaml:"use"`                 // utilisation of the processor at the planned load if all calls are direct
	FollowWork    float64       `yaml:"follow_work"`         // work of an answer or a release, in set-ups
	RejectWork    float64       `yaml:"reject_work"`         // work of rejecting a set-up, in set-ups
	FullAfter     time.Duration `yaml:"full_after"`          // set-ups that would wait longer are rejected
	AnswersFirst  bool          `yaml:"answers_first"`       // answers and releases are processed before set-ups
	Repeat        time.Duration `yaml:"repeat"`              // delay of the first retransmission of an unanswered set-up; 0: none
	RepeatWork    float64       `yaml:"repeat_work"`         // work of a retransmission, in set-ups
	DropAbandoned bool          `yaml:"drop_given_up"`       // set-ups that their sender released cost no work
	Ring          time.Duration `yaml:"ring"`                // from ACM to ANM
	HangUp        float64       `yaml:"hang_up"`             // share of calls that the called side releases
	EarlyACM      bool          `yaml:"early_acm,omitempty"` // ACM is sent before the work on the set-up
}

// Traffic describes the calls that callers offer.
type Traffic struct {
	Planned              float64       `yaml:"planned"` // calls a second that trunk groups and processors are dimensioned for
	Load                 float64       `yaml:"load"`    // offered calls, as a share of the planned ones
	Swing                float64       `yaml:"swing"`   // amplitude of a sinusoidal variation of the load
	Drift                time.Duration `yaml:"drift"`   // interval at which the distribution of destinations changes; 0: never
	Redials              int           `yaml:"redials"`
	RedialAfter          time.Duration `yaml:"redial_after"`
	Classes              []Class       `yaml:"classes"`
	Tenants              []Tenant      `yaml:"tenants,omitempty"`
	AdmissionLimit       float64       `yaml:"door,omitempty"`        // limit of all calls at a controller, as a share of its planned ones; 0: none
	ClientAdmissionLimit float64       `yaml:"client_door,omitempty"` // limit of each client, as a share of the largest tenant's planned calls; 0: none
}

// Class is one class of calls.
type Class struct {
	Name      string           `yaml:"name"`
	Share     float64          `yaml:"share"`
	Category  int              `yaml:"category"`
	Aim       time.Duration    `yaml:"aim"`      // a set-up that is complete later than this earns LateWorth only
	Patience  time.Duration    `yaml:"patience"` // an unanswered call that does not alert is abandoned after this
	GiveUp    time.Duration    `yaml:"give_up"`  // a set-up that is complete later than this earns nothing
	Worth     float64          `yaml:"worth"`
	LateWorth float64          `yaml:"late_worth"` // as a share of Worth
	Hold      time.Duration    `yaml:"hold"`
	Ring      time.Duration    `yaml:"ring,omitempty"` // a call that alerts is abandoned after this; 0: a minute
	Ringing   emulator.Ringing `yaml:"ringing,omitempty"`
}

// Tenant is one customer; each has a client at every controller.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Rules are the limits of the rules 3 to 5; see check.Violation.
type Rules struct {
	Guard      time.Duration `yaml:"guard"`
	DrainGrace time.Duration `yaml:"drain_grace"`
	ColdStart  ColdStart     `yaml:"cold"`
}

// ColdStart describes how many set-ups overload a freshly started switch; see check.ColdStart.
type ColdStart struct {
	Share    float64       `yaml:"share"`
	WarmUp   time.Duration `yaml:"warm_up"`
	Multiple float64       `yaml:"multiple"`
	Span     time.Duration `yaml:"span"`
}

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of faults.
const (
	LoadJump        FaultKind = "load_jump"         // the load is size times as high
	Crash           FaultKind = "crash"             // switches stop and restart cold after the duration
	Replace         FaultKind = "replace"           // switches drain, stop, and are replaced by cold ones at another address
	Hang            FaultKind = "hang"              // switches accept set-ups and answer none
	Slow            FaultKind = "slow"              // processors are size times as slow
	Ageing          FaultKind = "ageing"            // processors become gradually size times as slow, then crash and restart cold
	CircuitsLost    FaultKind = "circuits_lost"     // size: share of the circuits between a region and the others that fails
	RegionCut       FaultKind = "region_cut"        // the network between a region and the others is interrupted
	CallsCut        FaultKind = "calls_cut"         // size: share of the established calls that is cut at once
	ControllerStall FaultKind = "controller_stall"  // controllers stall, like stopped processes
	MassCalling     FaultKind = "mass_calling"      // size: share of all calls to one number with few lines
	Impatient       FaultKind = "impatient"         // half of the first tenant's callers abandon after size times their patience and redial after 200 ms
	ListLate        FaultKind = "list_late"         // size: seconds by which state updates are delayed
	ListFlap        FaultKind = "list_flap"         // state updates report healthy exchanges as unavailable and available again
	AssocReset      FaultKind = "association_reset" // associations of switches are reset
	ClientFlood     FaultKind = "client_flood"      // the first tenant's clients offer size times their calls
	RegionRestart   FaultKind = "region_restart"    // all switches of a region stop and restart cold
	CallFaultFull   FaultKind = "thin_full"         // size: share of the set-ups that healthy switches reject as overloaded
	CallFaultSilent FaultKind = "thin_silent"       // size: share of the set-ups that healthy switches never answer
	CallFaultReset  FaultKind = "thin_reset"        // size: share of the set-ups whose circuit healthy switches reset
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{LoadJump, Crash, Replace, Hang, Slow, Ageing, CircuitsLost, RegionCut, CallsCut, ControllerStall, MassCalling,
	Impatient, ClientFlood, ListLate, ListFlap, AssocReset, RegionRestart, CallFaultFull, CallFaultSilent, CallFaultReset}

// Fault is one injected fault.
type Fault struct {
	Kind     FaultKind     `yaml:"kind"`
	At       time.Duration `yaml:"at"` // since the start of the scenario
	For      time.Duration `yaml:"for"`
	Fraction float64       `yaml:"part,omitempty"` // share of the exchanges that are affected
	Region   string        `yaml:"region,omitempty"`
	Size     float64       `yaml:"size,omitempty"` // its meaning depends on the kind
}

// Default returns the values of keys that a scenario file leaves out.
func Default() Scenario {
	return Scenario{
		Seed: 1, Length: 30 * time.Second,
		Network: Network{Exchanges: 6, Regions: []string{"seoul", "daejeon", "busan"}, SameRegionDelay: 3 * time.Millisecond, CrossRegionDelay: 12 * time.Millisecond,
			SpareCircuits: 1.5, PlanError: 0.35, Unlinked: 0.15,
			Switch: Switch{Utilisation: 0.75, FollowWork: 0.3, RejectWork: 0.15, FullAfter: 2500 * time.Millisecond, Repeat: 400 * time.Millisecond,
				RepeatWork: 0.3, DropAbandoned: true, HangUp: 0.3}},
		Traffic: Traffic{Planned: 60, Load: 0.85, Swing: 0.1, Drift: 12 * time.Second, Redials: 2, RedialAfter: 900 * time.Millisecond,
			Classes: []Class{
				{Name: "map-tile", Share: 0.94, Category: 10, Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, GiveUp: 9 * time.Second,
					Worth: 1, LateWorth: 0.25, Hold: 5 * time.Second},
				{Name: "storm-tile", Share: 0.06, Category: 11, Aim: 1200 * time.Millisecond, Patience: 2 * time.Second, GiveUp: 6 * time.Second,
					Worth: 5, LateWorth: 0.25, Hold: 3 * time.Second},
				{Name: "mass", Category: 12, Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, GiveUp: 9 * time.Second,
					Worth: 0.1, LateWorth: 0.25, Hold: 3 * time.Second},
			}},
		Rules: Rules{Guard: 200 * time.Millisecond, DrainGrace: time.Second, ColdStart: ColdStart{0.37, 15 * time.Second, 2, 3 * time.Second}},
	}
}

// Load reads and checks a scenario file. The error is of type config.Faults, or that of reading the file.
func Load(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse decodes and checks a scenario; errors refer to it by name.
func Parse(name string, b []byte) (*Scenario, error) {
	scenario := Default()
	if err := config.Decode(name, b, &scenario); err != nil {
		return nil, err
	}
	v := config.NewChecker(name, b)
	scenario.check(v)
	return &scenario, v.Err()
}

func (sc *Scenario) check(checker *config.Checker) {
	span := func(key string, x, from, to time.Duration) {
		checker.Must(x >= from && x <= to, key, "%v is not in the range of %v to %v", x, from, to)
	}
	share := func(key string, x float64) {
		checker.Must(x >= 0 && x <= 1, key, "%v is not in the range of 0 to 1", x)
	}
	between := func(key string, x, low, high float64) {
		checker.Must(x >= low && x <= high, key, "%v is not in the range of %v to %v", x, low, high)
	}
	span("length", sc.Length, time.Second, time.Hour)
	network := sc.Network
	checker.Must(network.Exchanges >= 2 && network.Exchanges <= 99, "fleet.exchanges", "%d is not in the range of 2 to 99", network.Exchanges)
	checker.Must(len(network.Regions) >= 1 && len(network.Regions) <= network.Exchanges, "fleet.regions", "%d regions is not in the range of 1 to %d, the number of exchanges", len(network.Regions), network.Exchanges)
	span("fleet.same_region", network.SameRegionDelay, 0, time.Second)
	span("fleet.cross_region", network.CrossRegionDelay, 0, time.Second)
	between("fleet.spare", network.SpareCircuits, 0, 100)
	between("fleet.missed", network.PlanError, 0, 2)
	between("fleet.unlinked", network.Unlinked, 0, 0.6)
	between("fleet.switch.use", network.Switch.Utilisation, 0.01, 1)
	between("fleet.switch.follow_work", network.Switch.FollowWork, 0, 10)
	between("fleet.switch.reject_work", network.Switch.RejectWork, 0, 10)
	between("fleet.switch.repeat_work", network.Switch.RepeatWork, 0, 10)
	share("fleet.switch.hang_up", network.Switch.HangUp)
	between("fleet.big", network.BigExchange, 0, 0.95)
	traffic := sc.Traffic
	between("traffic.planned", traffic.Planned, 0.1, 100000)
	between("traffic.load", traffic.Load, 0, 10)
	share("traffic.swing", traffic.Swing)
	checker.Must(traffic.Redials >= 0 && traffic.Redials <= 20, "traffic.redials", "%d is not in the range of 0 to 20", traffic.Redials)
	checker.Must(len(traffic.Classes) > 0, "traffic.classes", "no class is given")
	sum, categories := 0.0, map[int]bool{}
	for i, c := range traffic.Classes {
		key := func(k string) string { return fmt.Sprintf("traffic.classes[%d].%s", i, k) }
		share(key("share"), c.Share)
		sum += c.Share
		checker.Must(!categories[c.Category] && c.Category >= 0 && c.Category < 256, key("category"), "%d is another class's category or not in the range of 0 to 255", c.Category)
		categories[c.Category] = true
		span(key("aim"), c.Aim, time.Millisecond, time.Minute)
		span(key("patience"), c.Patience, 200*time.Millisecond, time.Minute)
		span(key("give_up"), c.GiveUp, c.Patience, 10*time.Minute)
		span(key("hold"), c.Hold, time.Millisecond, time.Hour)
		between(key("worth"), c.Worth, 0.001, 1000)
		share(key("late_worth"), c.LateWorth)
		checker.Must(c.Patience >= c.Aim, key("patience"), "%v is below the aim of %v", c.Patience, c.Aim)
		if c.Ring != 0 {
			span(key("ring"), c.Ring, time.Second, 10*time.Minute)
		}
		if err := c.Ringing.Check(); err != nil {
			checker.Errorf(key("ringing"), "%v", err)
		}
	}
	checker.Must(sum > 0, "traffic.classes", "the sum of the shares is not above 0")
	span("rules.guard", sc.Rules.Guard, 0, time.Minute)
	span("rules.drain_grace", sc.Rules.DrainGrace, 0, time.Minute)
	between("rules.cold.share", sc.Rules.ColdStart.Share, 0.01, 1)
	between("rules.cold.multiple", sc.Rules.ColdStart.Multiple, 1, 100)
	for i, x := range sc.Faults {
		key := func(k string) string { return fmt.Sprintf("troubles[%d].%s", i, k) }
		checker.Must(slices.Contains(FaultKinds, x.Kind), key("kind"), "%q is not one of %v", x.Kind, FaultKinds)
		span(key("at"), x.At, 0, sc.Length)
		span(key("for"), x.For, 0, time.Hour)
		share(key("part"), x.Fraction)
		checker.Must(x.Region == "" || slices.Contains(network.Regions, x.Region), key("region"), "%q is not one of fleet.regions", x.Region)
		switch x.Kind {
		case LoadJump, Slow, Ageing, ClientFlood:
			between(key("size"), x.Size, 1, 100)
		case CircuitsLost, CallsCut, MassCalling, Impatient, CallFaultFull, CallFaultSilent, CallFaultReset:
			between(key("size"), x.Size, 0.01, 1)
		case ListLate:
			between(key("size"), x.Size, 0, 60)
		}
	}
}

// exchange is one exchange of a plan.
type exchange struct {
	pointCode uint32
	region    int
	prefix    string
	circuits  map[uint32]int
	setUpRate float64 // set-ups a second that its processor can take
}

// plan is a network and its traffic matrix, generated from a scenario's seed.
type plan struct {
	exchanges         []*exchange
	originShares      []float64   // share of all calls by exchange of origin
	destinationShares [][]float64 // share of an exchange's calls by destination
}

// randomSource returns the random source for a purpose. Each purpose has its own, so that a change to its draws leaves the others' as
// they are.
func (sc *Scenario) randomSource(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(sc.Seed, purpose))
}

// Purposes of random sources.
const (
	purposePlan = iota + 1
	purposeArrivals
	purposeFaults
	purposeStateUpdates
	purposeSwitches
)

func (sc *Scenario) plan() *plan {
	rng := sc.randomSource(purposePlan)
	network, traffic := sc.Network, sc.Traffic
	n := network.Exchanges
	p := &plan{originShares: make([]float64, n), destinationShares: make([][]float64, n)}
	// logNormal draws from a log-normal distribution with mean 1 and a coefficient of variation.
	logNormal := func(cv float64) float64 {
		s := math.Sqrt(math.Log(1 + cv*cv))
		return math.Exp(s*rng.NormFloat64() - s*s/2)
	}
	for i := range n {
		p.exchanges = append(p.exchanges, &exchange{pointCode: uint32(101 + i), region: i * len(network.Regions) / n, prefix: fmt.Sprintf("82%02d", i), circuits: map[uint32]int{}})
		p.originShares[i] = logNormal(0.2)
	}
	total := 0.0
	for _, s := range p.originShares {
		total += s
	}
	if network.BigExchange > 0 { // one large exchange among small ones
		othersTotal := total - p.originShares[0]
		p.originShares[0] = network.BigExchange / (1 - network.BigExchange) * othersTotal
		total = othersTotal + p.originShares[0]
	}
	hold, shares := 0.0, 0.0 // hold becomes the mean holding time of a circuit, in seconds
	for _, c := range traffic.Classes {
		// Ringing occupies the circuits too; the mean of a log-normal distribution is above its median.
		ring := c.Ringing.Median.Seconds() * math.Exp(c.Ringing.Spread*c.Ringing.Spread/2)
		ring = ring*(1-c.Ringing.NoAnswer-c.Ringing.Busy) + c.ringLimit().Seconds()*c.Ringing.NoAnswer
		hold += c.Share * (c.Hold.Seconds() + ring)
		shares += c.Share
	}
	hold /= shares
	for i := range n {
		p.originShares[i] /= total
		p.destinationShares[i] = make([]float64, n)
		sum := 0.0
		for j := range n {
			if j != i {
				p.destinationShares[i][j] = logNormal(0.4)
				if p.exchanges[i].region == p.exchanges[j].region {
					p.destinationShares[i][j] *= 1.5
				}
				sum += p.destinationShares[i][j]
			}
		}
		for j := range n {
			p.destinationShares[i][j] /= sum
		}
	}
	type groupPlan struct { // the trunk group between exchanges i and j
		i, j        int
		plannedLoad float64
	}
	var groups []groupPlan
	for i := range n {
		incomingRate := 0.0
		for j := range n {
			incomingRate += traffic.Planned * p.originShares[j] * p.destinationShares[j][i]
			if j > i {
				offeredLoad := hold * traffic.Planned * (p.originShares[i]*p.destinationShares[i][j] + p.originShares[j]*p.destinationShares[j][i])
				groups = append(groups, groupPlan{i, j, offeredLoad * logNormal(network.PlanError)})
			}
		}
		// Each call costs the processor a set-up, an answer and a release.
		p.exchanges[i].setUpRate = incomingRate * (1 + 2*network.Switch.FollowWork) / network.Switch.Utilisation
	}
	slices.SortFunc(groups, func(a, b groupPlan) int { return cmp.Compare(a.plannedLoad, b.plannedLoad) })
	for k, group := range groups {
		if k < int(network.Unlinked*float64(len(groups))) && n > 3 { // the pairs with the least load; up to three exchanges every pair is needed for tandem routes
			continue
		}
		size := max(2, int(math.Ceil(group.plannedLoad+network.SpareCircuits*math.Sqrt(group.plannedLoad))))
		size = min(size, isup.MaxCIC)
		p.exchanges[group.i].circuits[p.exchanges[group.j].pointCode] = size
		p.exchanges[group.j].circuits[p.exchanges[group.i].pointCode] = size
	}
	return p
}

// drawTargets draws the exchanges that a fault affects.
func (sc *Scenario) drawTargets(p *plan, fault Fault, rng *rand.Rand) []int {
	var candidates []int
	for i, e := range p.exchanges {
		if fault.Region == "" || sc.Network.Regions[e.region] == fault.Region {
			candidates = append(candidates, i)
		}
	}
	if fault.Kind == RegionRestart || fault.Kind == RegionCut || fault.Kind == CircuitsLost {
		if fault.Region != "" {
			return candidates
		}
		r := p.exchanges[rng.IntN(len(p.exchanges))].region
		return slices.DeleteFunc(candidates, func(i int) bool { return p.exchanges[i].region != r })
	}
	rng.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	n := int(math.Round(fault.Fraction * float64(len(candidates))))
	candidates = candidates[:min(len(candidates), max(1, n))]
	slices.Sort(candidates)
	return candidates
}

// hasRinging reports whether numbers of the class ring before they answer.
func (c *Class) hasRinging() bool { return c.Ringing != emulator.Ringing{} }

// ringLimit is how long callers of the class let a call ring.
func (c *Class) ringLimit() time.Duration {
	if c.Ring > 0 {
		return c.Ring
	}
	return time.Minute
}

// arrival is one call that a caller offers; redials follow from it.
type arrival struct {
	at          time.Duration
	from        int
	class       int
	tenant      int
	called      string
	calling     string
	hold        time.Duration
	patience    time.Duration
	redials     int
	redialAfter time.Duration
}

// arrivals draws all calls of the scenario, as a Poisson process with a varying rate.
func (sc *Scenario) arrivals(p *plan) []arrival {
	rng := sc.randomSource(purposeArrivals)
	traffic := sc.Traffic
	pick := func(weights []float64) int {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		x := rng.Float64() * sum
		for i, w := range weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return len(weights) - 1
	}
	classes := make([]float64, len(traffic.Classes))
	for i, c := range traffic.Classes {
		classes[i] = c.Share
	}
	tenants := []float64{1}
	if len(traffic.Tenants) > 0 {
		tenants = nil
		for _, x := range traffic.Tenants {
			tenants = append(tenants, x.Share)
		}
	}
	massClass := max(0, slices.IndexFunc(traffic.Classes, func(c Class) bool { return c.Name == "mass" }))
	destinationShares := make([][]float64, len(p.destinationShares))
	drift := func() {
		for i := range destinationShares {
			destinationShares[i] = slices.Clone(p.destinationShares[i])
			for j := range destinationShares[i] {
				destinationShares[i][j] *= math.Exp(0.4 * rng.NormFloat64())
			}
		}
	}
	drift()
	nextDrift := sc.Traffic.Drift
	var out []arrival
	phase := rng.Float64() * 2 * math.Pi
	for at := time.Duration(0); ; {
		rate := traffic.Planned * traffic.Load * (1 + traffic.Swing*math.Sin(phase+2*math.Pi*at.Seconds()/20))
		massShare, impatient, impatientSize, floodRate := 0.0, false, 0.0, 0.0
		for _, x := range sc.Faults {
			if at < x.At || at >= x.At+x.For {
				continue
			}
			switch x.Kind {
			case LoadJump:
				rate *= x.Size
			case ClientFlood:
				floodRate += (x.Size - 1) * tenants[0] / sumOf(tenants) * rate
			case MassCalling:
				massShare = x.Size
			case Impatient:
				impatient, impatientSize = true, x.Size
			}
		}
		if rate <= 0 {
			return out
		}
		ordinaryRate := rate
		rate += floodRate
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= sc.Length {
			return out
		}
		if traffic.Drift > 0 && at >= nextDrift {
			nextDrift += traffic.Drift
			drift()
		}
		a := arrival{at: at, from: pick(p.originShares), class: pick(classes), tenant: pick(tenants), redials: traffic.Redials, redialAfter: traffic.RedialAfter,
			calling: fmt.Sprintf("90%06d", len(out))}
		if floodRate > 0 && rng.Float64() > ordinaryRate/rate {
			a.tenant, a.redials = 0, 0
		}
		to := pick(destinationShares[a.from])
		a.called = fmt.Sprintf("%s%05d", p.exchanges[to].prefix, rng.IntN(100000))
		if rng.Float64() < massShare { // mass calling: all dial the same number
			a.class = massClass
			if a.called = sc.massCallingNumber(p); p.exchanges[a.from].prefix == a.called[:4] {
				a.from = (a.from + 1) % len(p.exchanges)
			}
			a.redials, a.redialAfter = 3, 300*time.Millisecond
		}
		classSpec := traffic.Classes[a.class]
		a.patience = classSpec.Patience
		if impatient && a.tenant == 0 && rng.Float64() < 0.5 {
			a.patience = max(150*time.Millisecond, time.Duration(impatientSize*float64(classSpec.Patience)))
			a.redials, a.redialAfter = 4, 200*time.Millisecond
		}
		a.hold = time.Duration(rng.ExpFloat64() * float64(classSpec.Hold))
		out = append(out, a)
	}
}

func sumOf(v []float64) (s float64) {
	for _, x := range v {
		s += x
	}
	return s
}

// massCallingNumber is the number that is dialled during mass calling.
func (sc *Scenario) massCallingNumber(p *plan) string {
	return p.exchanges[int(sc.Seed%uint64(len(p.exchanges)))].prefix + "00000"
}

// massCallingLines is the number of lines of the mass-calling number.
const massCallingLines = 4
