// Package scenario plays scripted days through real call controllers, stand-in switches and clients, and has them judged by
// the traffic on their sockets.
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

// Scenario is a script: who is there, who calls whom, and what goes wrong. docs/operations/days.md explains each key.
type Scenario struct {
	Name    string        `yaml:"name"`
	Seed    uint64        `yaml:"seed"`
	Length  time.Duration `yaml:"length"`
	Network Network       `yaml:"fleet"`
	Traffic Traffic       `yaml:"traffic"`
	Rules   Rules         `yaml:"rules"`
	Faults  []Fault       `yaml:"troubles,omitempty"`
}

// Network is the exchanges and what lies between them.
type Network struct {
	Exchanges        int           `yaml:"exchanges"`
	Regions          []string      `yaml:"regions"`
	SameRegionDelay  time.Duration `yaml:"same_region"`   // one way
	CrossRegionDelay time.Duration `yaml:"cross_region"`  // one way
	BigExchange      float64       `yaml:"big,omitempty"` // share of all calls that the first exchange offers; 0: about as many as the others
	SpareCircuits    float64       `yaml:"spare"`         // circuits beyond the plan, in square roots of it
	PlanError        float64       `yaml:"missed"`        // how far the plan missed the traffic, as a coefficient of variation
	Unlinked         float64       `yaml:"unlinked"`      // share of pairs without a group
	Switch           Switch        `yaml:"switch"`
}

// Switch is each exchange's processor.
type Switch struct {
	Utilisation   float64       `yaml:"use"` // busy share at the planned load, all calls direct
	FollowWork    float64       `yaml:"follow_work"`
	RejectWork    float64       `yaml:"reject_work"`
	FullAfter     time.Duration `yaml:"full_after"`
	AnswersFirst  bool          `yaml:"answers_first"`
	Repeat        time.Duration `yaml:"repeat"`
	RepeatWork    float64       `yaml:"repeat_work"`
	DropAbandoned bool          `yaml:"drop_given_up"`
	Ring          time.Duration `yaml:"ring"`
	HangUp        float64       `yaml:"hang_up"`
	EarlyACM      bool          `yaml:"early_acm,omitempty"`
}

// Traffic is what callers want.
type Traffic struct {
	Planned              float64       `yaml:"planned"` // calls a second that groups and processors were planned for
	Load                 float64       `yaml:"load"`    // offered, as a share of that
	Swing                float64       `yaml:"swing"`   // a wave of this height
	Drift                time.Duration `yaml:"drift"`   // where calls go shifts so often; 0: never
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
	Aim       time.Duration    `yaml:"aim"`
	Patience  time.Duration    `yaml:"patience"` // of one try, till it rings
	GiveUp    time.Duration    `yaml:"give_up"`  // of the caller
	Worth     float64          `yaml:"worth"`
	LateWorth float64          `yaml:"late_worth"`
	Hold      time.Duration    `yaml:"hold"`
	Ring      time.Duration    `yaml:"ring,omitempty"` // callers let it ring so long; 0: a minute
	Ringing   emulator.Ringing `yaml:"ringing,omitempty"`
}

// Tenant is one of the customers; each has a client at every controller.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Rules are the figures of the five rules.
type Rules struct {
	Guard      time.Duration `yaml:"guard"`
	DrainGrace time.Duration `yaml:"drain_grace"`
	ColdStart  ColdStart     `yaml:"cold"`
}

// ColdStart is when a fresh switch is pushed over.
type ColdStart struct {
	Share    float64       `yaml:"share"`
	WarmUp   time.Duration `yaml:"warm_up"`
	Multiple float64       `yaml:"multiple"`
	Span     time.Duration `yaml:"span"`
}

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds.
const (
	LoadJump        FaultKind = "load_jump"         // size: times the load
	Crash           FaultKind = "crash"             // comes back cold after its time
	Replace         FaultKind = "replace"           // drains, stops, and another machine takes its place, cold
	Hang            FaultKind = "hang"              // takes set-ups, answers none
	Slow            FaultKind = "slow"              // size: times slower
	Ageing          FaultKind = "ageing"            // slower and slower up to size times, then dies and comes back cold
	CircuitsLost    FaultKind = "circuits_lost"     // size: share of circuits lost between a region and the others
	RegionCut       FaultKind = "region_cut"        // a region is cut off from the others
	CallsCut        FaultKind = "calls_cut"         // size: share of standing calls cut at once
	ControllerStall FaultKind = "controller_stall"  // controllers stand still, as stopped processes
	MassCalling     FaultKind = "mass_calling"      // size: share of all calls to one number with few lines
	Impatient       FaultKind = "impatient"         // callers of one tenant give up after size of their time and redial at once
	ListLate        FaultKind = "list_late"         // size: seconds that the list is late
	ListFlap        FaultKind = "list_flap"         // the list says that healthy exchanges are gone, and back
	AssocReset      FaultKind = "association_reset" // connections of switches break
	ClientFlood     FaultKind = "client_flood"      // the first tenant's clients offer size times their calls
	RegionRestart   FaultKind = "region_restart"    // all switches of a region restart cold
	CallFaultFull   FaultKind = "thin_full"         // size: share of set-ups turned away as full by switches that are well
	CallFaultSilent FaultKind = "thin_silent"       // size: share of set-ups that such switches never answer
	CallFaultReset  FaultKind = "thin_reset"        // size: share of set-ups whose circuit such switches reset
)

// Kinds are all kinds of trouble.
var FaultKinds = []FaultKind{LoadJump, Crash, Replace, Hang, Slow, Ageing, CircuitsLost, RegionCut, CallsCut, ControllerStall, MassCalling,
	Impatient, ClientFlood, ListLate, ListFlap, AssocReset, RegionRestart, CallFaultFull, CallFaultSilent, CallFaultReset}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     FaultKind     `yaml:"kind"`
	At       time.Duration `yaml:"at"`
	For      time.Duration `yaml:"for"`
	Fraction float64       `yaml:"part,omitempty"` // share of the exchanges that it strikes
	Region   string        `yaml:"region,omitempty"`
	Size     float64       `yaml:"size,omitempty"`
}

// Default has the values of keys that a script may leave out.
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

// Load reads and checks a script. The error is config.FileErrors, or that of reading the file.
func Load(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads and checks a script; name stands in its errors.
func Parse(name string, b []byte) (*Scenario, error) {
	d := Default()
	if err := config.Decode(name, b, &d); err != nil {
		return nil, err
	}
	v := config.NewChecker(name, b)
	d.check(v)
	return &d, v.Err()
}

func (d *Scenario) check(v *config.Checker) {
	span := func(key string, x, from, to time.Duration) {
		v.Must(x >= from && x <= to, key, "%v; %v to %v can be", x, from, to)
	}
	share := func(key string, x float64) { v.Must(x >= 0 && x <= 1, key, "%v; 0 to 1 can be", x) }
	above := func(key string, x, low, high float64) {
		v.Must(x >= low && x <= high, key, "%v; %v to %v can be", x, low, high)
	}
	span("length", d.Length, time.Second, time.Hour)
	f := d.Network
	v.Must(f.Exchanges >= 2 && f.Exchanges <= 99, "fleet.exchanges", "%d; 2 to 99 can be", f.Exchanges)
	v.Must(len(f.Regions) >= 1 && len(f.Regions) <= f.Exchanges, "fleet.regions", "%d regions for %d exchanges", len(f.Regions), f.Exchanges)
	span("fleet.same_region", f.SameRegionDelay, 0, time.Second)
	span("fleet.cross_region", f.CrossRegionDelay, 0, time.Second)
	above("fleet.spare", f.SpareCircuits, 0, 100)
	above("fleet.missed", f.PlanError, 0, 2)
	above("fleet.unlinked", f.Unlinked, 0, 0.6)
	above("fleet.switch.use", f.Switch.Utilisation, 0.01, 1)
	above("fleet.switch.follow_work", f.Switch.FollowWork, 0, 10)
	above("fleet.switch.reject_work", f.Switch.RejectWork, 0, 10)
	above("fleet.switch.repeat_work", f.Switch.RepeatWork, 0, 10)
	share("fleet.switch.hang_up", f.Switch.HangUp)
	above("fleet.big", f.BigExchange, 0, 0.95)
	t := d.Traffic
	above("traffic.planned", t.Planned, 0.1, 100000)
	above("traffic.load", t.Load, 0, 10)
	share("traffic.swing", t.Swing)
	v.Must(t.Redials >= 0 && t.Redials <= 20, "traffic.redials", "%d; 0 to 20 can be", t.Redials)
	v.Must(len(t.Classes) > 0, "traffic.classes", "there is none")
	sum, cats := 0.0, map[int]bool{}
	for i, c := range t.Classes {
		key := func(k string) string { return fmt.Sprintf("traffic.classes[%d].%s", i, k) }
		share(key("share"), c.Share)
		sum += c.Share
		v.Must(!cats[c.Category] && c.Category >= 0 && c.Category < 256, key("category"), "%d is given twice or is no category", c.Category)
		cats[c.Category] = true
		span(key("aim"), c.Aim, time.Millisecond, time.Minute)
		span(key("patience"), c.Patience, 200*time.Millisecond, time.Minute)
		span(key("give_up"), c.GiveUp, c.Patience, 10*time.Minute)
		span(key("hold"), c.Hold, time.Millisecond, time.Hour)
		above(key("worth"), c.Worth, 0.001, 1000)
		share(key("late_worth"), c.LateWorth)
		v.Must(c.Patience >= c.Aim, key("patience"), "%v is under the aim of %v", c.Patience, c.Aim)
		if c.Ring != 0 {
			span(key("ring"), c.Ring, time.Second, 10*time.Minute)
		}
		if err := c.Ringing.Check(); err != nil {
			v.Errorf(key("ringing"), "%v", err)
		}
	}
	v.Must(sum > 0, "traffic.classes", "the shares add up to nothing")
	span("rules.guard", d.Rules.Guard, 0, time.Minute)
	span("rules.drain_grace", d.Rules.DrainGrace, 0, time.Minute)
	above("rules.cold.share", d.Rules.ColdStart.Share, 0.01, 1)
	above("rules.cold.multiple", d.Rules.ColdStart.Multiple, 1, 100)
	for i, x := range d.Faults {
		key := func(k string) string { return fmt.Sprintf("troubles[%d].%s", i, k) }
		v.Must(slices.Contains(FaultKinds, x.Kind), key("kind"), "%q; it can be one of %v", x.Kind, FaultKinds)
		span(key("at"), x.At, 0, d.Length)
		span(key("for"), x.For, 0, time.Hour)
		share(key("part"), x.Fraction)
		v.Must(x.Region == "" || slices.Contains(f.Regions, x.Region), key("region"), "there is no region %q", x.Region)
		switch x.Kind {
		case LoadJump, Slow, Ageing, ClientFlood:
			above(key("size"), x.Size, 1, 100)
		case CircuitsLost, CallsCut, MassCalling, Impatient, CallFaultFull, CallFaultSilent, CallFaultReset:
			above(key("size"), x.Size, 0.01, 1)
		case ListLate:
			above(key("size"), x.Size, 0, 60)
		}
	}
}

// exchange is one exchange of a plan.
type exchange struct {
	pc       uint32
	region   int
	prefix   string
	circuits map[uint32]int
	rate     float64 // set-ups a second of its processor
}

// plan is a fleet drawn from a script's seed.
type plan struct {
	exchanges []*exchange
	streams   []float64   // share of all calls by exchange
	matrix    [][]float64 // share of an exchange's calls by destination
}

// stream makes a source of chance of its own for each purpose, so that a change in one leaves the others.
func (d *Scenario) stream(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, purpose)) }

const (
	forPlan = iota + 1
	forArrivals
	forTroubles
	forList
	forSwitches
)

func (d *Scenario) plan() *plan {
	rng := d.stream(forPlan)
	f, t := d.Network, d.Traffic
	n := f.Exchanges
	p := &plan{streams: make([]float64, n), matrix: make([][]float64, n)}
	logNormal := func(cv float64) float64 {
		s := math.Sqrt(math.Log(1 + cv*cv))
		return math.Exp(s*rng.NormFloat64() - s*s/2)
	}
	for i := range n {
		p.exchanges = append(p.exchanges, &exchange{pc: uint32(101 + i), region: i * len(f.Regions) / n, prefix: fmt.Sprintf("82%02d", i), circuits: map[uint32]int{}})
		p.streams[i] = logNormal(0.2)
	}
	total := 0.0
	for _, s := range p.streams {
		total += s
	}
	if f.BigExchange > 0 { // one large controller beside small ones
		others := total - p.streams[0]
		p.streams[0] = f.BigExchange / (1 - f.BigExchange) * others
		total = others + p.streams[0]
	}
	hold, shares := 0.0, 0.0
	for _, c := range t.Classes {
		// A number that rings holds the circuits too; the mean of a log-normal distribution is above its median.
		ring := c.Ringing.Median.Seconds() * math.Exp(c.Ringing.Spread*c.Ringing.Spread/2)
		ring = ring*(1-c.Ringing.NoAnswer-c.Ringing.Busy) + c.ringPatience().Seconds()*c.Ringing.NoAnswer
		hold += c.Share * (c.Hold.Seconds() + ring)
		shares += c.Share
	}
	hold /= shares
	for i := range n {
		p.streams[i] /= total
		p.matrix[i] = make([]float64, n)
		sum := 0.0
		for j := range n {
			if j != i {
				p.matrix[i][j] = logNormal(0.4)
				if p.exchanges[i].region == p.exchanges[j].region {
					p.matrix[i][j] *= 1.5
				}
				sum += p.matrix[i][j]
			}
		}
		for j := range n {
			p.matrix[i][j] /= sum
		}
	}
	type link struct {
		i, j   int
		planed float64
	}
	var links []link
	for i := range n {
		in := 0.0
		for j := range n {
			in += t.Planned * p.streams[j] * p.matrix[j][i]
			if j > i {
				e := hold * t.Planned * (p.streams[i]*p.matrix[i][j] + p.streams[j]*p.matrix[j][i])
				links = append(links, link{i, j, e * logNormal(f.PlanError)})
			}
		}
		// A set-up and, a little later, its answer and its release.
		p.exchanges[i].rate = in * (1 + 2*f.Switch.FollowWork) / f.Switch.Utilisation
	}
	slices.SortFunc(links, func(a, b link) int { return cmp.Compare(a.planed, b.planed) })
	for k, l := range links {
		if k < int(f.Unlinked*float64(len(links))) && n > 3 { // mostly the thin ones; two ends of three must have a way round
			continue
		}
		size := max(2, int(math.Ceil(l.planed+f.SpareCircuits*math.Sqrt(l.planed))))
		size = min(size, isup.MaxCIC)
		p.exchanges[l.i].circuits[p.exchanges[l.j].pc] = size
		p.exchanges[l.j].circuits[p.exchanges[l.i].pc] = size
	}
	return p
}

// strike draws the exchanges that a trouble strikes.
func (d *Scenario) strike(p *plan, x Fault, rng *rand.Rand) []int {
	var all []int
	for i, e := range p.exchanges {
		if x.Region == "" || d.Network.Regions[e.region] == x.Region {
			all = append(all, i)
		}
	}
	if x.Kind == RegionRestart || x.Kind == RegionCut || x.Kind == CircuitsLost {
		if x.Region != "" {
			return all
		}
		r := p.exchanges[rng.IntN(len(p.exchanges))].region
		return slices.DeleteFunc(all, func(i int) bool { return p.exchanges[i].region != r })
	}
	rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	n := int(math.Round(x.Fraction * float64(len(all))))
	all = all[:min(len(all), max(1, n))]
	slices.Sort(all)
	return all
}

// rings tells whether numbers of the class ring at all.
func (c *Class) rings() bool { return c.Ringing != emulator.Ringing{} }

// ringPatience is how long its callers let it ring.
func (c *Class) ringPatience() time.Duration {
	if c.Ring > 0 {
		return c.Ring
	}
	return time.Minute
}

// arrival is one call of the script.
type arrival struct {
	at        time.Duration
	from      int
	class     int
	tenant    int
	called    string
	calling   string
	hold      time.Duration
	patience  time.Duration
	redials   int
	redialing time.Duration
}

// arrivals draws all calls of the day.
func (d *Scenario) arrivals(p *plan) []arrival {
	rng := d.stream(forArrivals)
	t := d.Traffic
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
	classes := make([]float64, len(t.Classes))
	for i, c := range t.Classes {
		classes[i] = c.Share
	}
	tenants := []float64{1}
	if len(t.Tenants) > 0 {
		tenants = nil
		for _, x := range t.Tenants {
			tenants = append(tenants, x.Share)
		}
	}
	mass := max(0, slices.IndexFunc(t.Classes, func(c Class) bool { return c.Name == "mass" }))
	matrix := make([][]float64, len(p.matrix))
	drift := func() {
		for i := range matrix {
			matrix[i] = slices.Clone(p.matrix[i])
			for j := range matrix[i] {
				matrix[i][j] *= math.Exp(0.4 * rng.NormFloat64())
			}
		}
	}
	drift()
	nextDrift := d.Traffic.Drift
	var out []arrival
	phase := rng.Float64() * 2 * math.Pi
	for at := time.Duration(0); ; {
		rate := t.Planned * t.Load * (1 + t.Swing*math.Sin(phase+2*math.Pi*at.Seconds()/20))
		hot, impatient, impatientSize, flood := 0.0, false, 0.0, 0.0
		for _, x := range d.Faults {
			if at < x.At || at >= x.At+x.For {
				continue
			}
			switch x.Kind {
			case LoadJump:
				rate *= x.Size
			case ClientFlood:
				flood += (x.Size - 1) * tenants[0] / sumOf(tenants) * rate
			case MassCalling:
				hot = x.Size
			case Impatient:
				impatient, impatientSize = true, x.Size
			}
		}
		if rate <= 0 {
			return out
		}
		usual := rate
		rate += flood
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= d.Length {
			return out
		}
		if t.Drift > 0 && at >= nextDrift {
			nextDrift += t.Drift
			drift()
		}
		a := arrival{at: at, from: pick(p.streams), class: pick(classes), tenant: pick(tenants), redials: t.Redials, redialing: t.RedialAfter,
			calling: fmt.Sprintf("90%06d", len(out))}
		if flood > 0 && rng.Float64() > usual/rate {
			a.tenant, a.redials = 0, 0
		}
		to := pick(matrix[a.from])
		a.called = fmt.Sprintf("%s%05d", p.exchanges[to].prefix, rng.IntN(100000))
		if rng.Float64() < hot { // every caller dials the same number
			a.class = mass
			if a.called = d.hotNumber(p); p.exchanges[a.from].prefix == a.called[:4] {
				a.from = (a.from + 1) % len(p.exchanges)
			}
			a.redials, a.redialing = 3, 300*time.Millisecond
		}
		cl := t.Classes[a.class]
		a.patience = cl.Patience
		if impatient && a.tenant == 0 && rng.Float64() < 0.5 {
			a.patience = max(150*time.Millisecond, time.Duration(impatientSize*float64(cl.Patience)))
			a.redials, a.redialing = 4, 200*time.Millisecond
		}
		a.hold = time.Duration(rng.ExpFloat64() * float64(cl.Hold))
		out = append(out, a)
	}
}

func sumOf(v []float64) (s float64) {
	for _, x := range v {
		s += x
	}
	return s
}

// hotNumber is the number that all dial on a day with mass calling.
func (d *Scenario) hotNumber(p *plan) string {
	return p.exchanges[int(d.Seed%uint64(len(p.exchanges)))].prefix + "00000"
}

// hotLines are its lines.
const hotLines = 4
