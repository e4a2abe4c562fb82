package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldStartFleet is the controllers of a mesh and one switch that restarts. The switch has one processor, which answers late
// when more set-ups come than it can carry.
type coldStartFleet struct {
	cfg        Config
	rates      []float64 // usual set-ups per second of each controller to the switch
	engine     []*Engine // by controller
	now        time.Duration
	rnd        *rand.Rand
	lastCallID uint64
	pending    []fleetEvent
	idleAt     time.Duration // when the processor has done its work
	capacity   float64       // set-ups per second that the processor can carry
	address    string
	startedAt  time.Duration
	sent       []time.Duration // times of the set-ups to the switch since its restart
}

// fleetEvent is an event that a controller gets at a time.
type fleetEvent struct {
	at time.Duration
	to *Engine
	ev Event
}

// startEngine starts controller i anew.
func (f *coldStartFleet) startEngine(i int) {
	cfg := f.cfg
	cfg.Self, cfg.Seed, cfg.Index, cfg.Controllers = i+1, uint64(i), i, len(f.rates)+1
	engine, err := New(cfg)
	if err != nil {
		panic(err)
	}
	f.engine[i] = engine
	f.do(engine, List{Full: true, Entries: f.entries()})
}

// entries returns the list of exchanges: 0 is the switch, the others belong to the controllers.
func (f *coldStartFleet) entries() []Entry {
	all := []Entry{{Address: f.address, StartedAt: f.startedAt}}
	for i := range f.engine {
		all = append(all, Entry{Address: fmt.Sprint("e:", i+1), PointCode: i + 1})
	}
	return all
}

// do handles one event and schedules the consequences of its actions.
func (f *coldStartFleet) do(c *Engine, ev Event) {
	for _, a := range c.Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.pending = append(f.pending, fleetEvent{f.now + a.After, c, Timer{ID: a.ID}})
		case SetUp:
			done := f.now + 30*ms
			if a.Exchange == f.address {
				f.idleAt = max(f.idleAt, f.now) + time.Duration(float64(time.Second)/f.capacity)
				done = f.idleAt + 20*ms
				if f.startedAt > 0 {
					f.sent = append(f.sent, f.now)
				}
			}
			end := Event(Established{Call: a.Call, Exchange: a.Exchange, Delay: done - f.now})
			if done > f.now+a.TimeOut {
				done = f.now + a.TimeOut
				end = AttemptEnded{Call: a.Call, Exchange: a.Exchange, Delay: a.TimeOut, Cause: TimedOut}
			}
			f.pending = append(f.pending, fleetEvent{done, c, end})
		}
	}
}

// run offers calls to the switch at a rate per controller, and calls between the controllers' own exchanges.
func (f *coldStartFleet) run(duration time.Duration, rate func(i int) float64) {
	const tick = 5 * ms
	for end := f.now + duration; f.now < end; f.now += tick {
		ready := slices.Clone(f.pending)
		slices.SortStableFunc(ready, func(a, b fleetEvent) int { return cmp.Compare(a.at, b.at) })
		f.pending = slices.DeleteFunc(f.pending, func(e fleetEvent) bool { return e.at <= f.now })
		for _, e := range ready {
			if e.at <= f.now && slices.Contains(f.engine, e.to) { // not for one that was started anew since
				f.do(e.to, e.ev)
			}
		}
		for i, engine := range f.engine {
			offer := func(to int) {
				f.lastCallID++
				f.do(engine, Offered{Call: f.lastCallID, Destination: to, AdvisedTandem: -1, Circuits: 1, Due: f.now + 3*time.Second, Number: fmt.Sprint(f.lastCallID)})
			}
			if f.rnd.Float64() < rate(i)*tick.Seconds() {
				offer(0)
			}
			if other := 1 + f.rnd.IntN(len(f.engine)); other != i+1 && f.rnd.Float64() < f.rates[i]*float64(len(f.engine)-1)*tick.Seconds() {
				offer(other)
			}
		}
	}
}

// TestColdBudgetHoldsAcrossControllers: whatever their number, their shares of the load and their own
// restarts, all controllers together send a cold switch no more within CrashSpan than makes it fail, with a
// tolerance of two standard deviations and two set-ups. The switch has capacityMultiple times its usual load
// as capacity, and only its cold share during the whole warm-up.
func TestColdBudgetHoldsAcrossControllers(t *testing.T) {
	for _, controllers := range []int{1, 7, 20, 30, 36} {
		for _, usual := range []float64{2.4, 5, 20} {
			for _, demand := range []string{"usual", "three times usual", "saturating", "ten times usual after 6 s"} {
				t.Run(fmt.Sprintf("%d controllers, %v/s, %s", controllers, usual, demand), func(t *testing.T) {
					f := &coldStartFleet{cfg: testConfig(), rates: make([]float64, controllers), engine: make([]*Engine, controllers), now: time.Hour, address: "old",
						capacity: capacityMultiple * usual, rnd: rand.New(rand.NewPCG(uint64(controllers), uint64(usual)))}
					var sum float64
					for i := range f.rates { // the busiest have several times the mean rate
						f.rates[i] = 0.3 + f.rnd.ExpFloat64()
						sum += f.rates[i]
					}
					for i := range f.rates {
						f.rates[i] *= usual / sum
						f.startEngine(i)
					}
					atUsual := func(times float64) func(int) float64 { return func(i int) float64 { return f.rates[i] * times } }
					f.run(20*time.Second, atUsual(1))
					f.address, f.startedAt, f.capacity, f.idleAt = "new", f.now, f.capacity*f.cfg.ColdShare, 0
					for i, engine := range f.engine {
						if i%10 == 3 { // started anew: it knows no usual rate
							f.startEngine(i)
						} else {
							f.do(engine, List{Entries: f.entries()[:1]})
						}
					}
					switch demand {
					case "usual":
						f.run(f.cfg.WarmUp, atUsual(1))
					case "three times usual":
						f.run(f.cfg.WarmUp, atUsual(3))
					case "ten times usual after 6 s":
						f.run(6*time.Second, atUsual(1))
						f.startEngine(0)
						f.run(f.cfg.WarmUp-6*time.Second, atUsual(10))
					case "saturating": // each controller always has more calls than all together may send
						f.run(f.cfg.WarmUp, func(int) float64 { return 4 })
					}
					allowed := f.cfg.CrashMultiple * f.cfg.ColdShare * capacityMultiple * usual * f.cfg.CrashSpan.Seconds()
					most := 0
					for i, from := range f.sent {
						within := len(f.sent) - i
						if j := slices.IndexFunc(f.sent, func(at time.Duration) bool { return at >= from+f.cfg.CrashSpan }); j >= 0 {
							within = j - i
						}
						most = max(most, within)
					}
					t.Logf("at most %d set-ups within CrashSpan, %d in all; the budget is %.1f", most, len(f.sent), allowed)
					if limit := allowed + 2*math.Sqrt(allowed) + 2; float64(most) > limit {
						t.Errorf("%d set-ups within CrashSpan, the limit is %.1f", most, limit)
					}
				})
			}
		}
	}
}
