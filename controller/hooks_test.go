package controller

import (
	"testing"

	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
)

// asker keeps the questions; the test answers them, or does not.
type asker struct {
	set  *hooks.Set
	asks []HookRequest
	busy bool
}

func (a *asker) Live() *hooks.Set { return a.set }

func (a *asker) Submit(q HookRequest) bool {
	if a.busy {
		return false
	}
	a.asks = append(a.asks, q)
	return true
}

func newAsker(t *testing.T, text string) (*asker, func(*Config)) {
	t.Helper()
	s, err := hooks.Compile([]hooks.Source{{Name: "t.ug", Text: text}}, hooks.Names{Classes: []string{"a", "b"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a := &asker{set: s}
	return a, func(c *Config) { c.Hooks, c.HookDeadline = a, 20*ms }
}

// answer runs the hooks of the oldest question and brings their advice.
func (r *rig) answer(a *asker) {
	r.t.Helper()
	if len(a.asks) == 0 {
		r.t.Fatal("no question")
	}
	q := a.asks[0]
	a.asks = a.asks[1:]
	var adv hooks.Advice
	run := hooks.NewRunner()
	run.Run(q.Set, q.Kind, &q.Event, r.now, &adv)
	if q.Kind == "arrival" {
		run.Run(q.Set, "route", &q.Event, r.now, &adv)
	}
	r.c.Advise(r.now, q.Call, q.Seq, &adv)
	r.flush()
}

func TestHooksOnArrival(t *testing.T) {
	a, change := newAsker(t, "on arrival {\n\tmatch call.called {\n\t\t\"112\" -> rewrite(\"2112\")\n\t\t29* -> refuse(21)\n\t\t28* -> rewrite(\"77\")\n\t\t27* -> set_class(\"b\")\n\t}\n}\non route {\n\tif call.called matches 26* {\n\t\texclude(2)\n\t}\n}\n")
	r := newRig(t, 10, change)
	r.offer(1, "112")
	r.none(two)
	r.answer(a)
	if m := r.one(two, isup.IAM); m.Called.String() != "2112" {
		t.Errorf("%v", m.Called)
	}
	r.offer(2, "2900")
	r.answer(a)
	if m := r.one(client, isup.REL); m.Cause != 21 || m.CIC != 2 {
		t.Errorf("%+v", m)
	}
	r.offer(3, "2800")
	r.answer(a)
	if m := r.one(client, isup.REL); m.Cause != isup.CauseUnallocated {
		t.Errorf("%+v", m)
	}
	r.offer(4, "2700")
	r.answer(a)
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.one(client, isup.CON)
	if e := r.ends[len(r.ends)-1]; e.Class != 1 {
		t.Errorf("%+v", e)
	}
	r.offer(5, "2600")
	r.answer(a)
	r.none(two)
	r.one(client, isup.REL)
}

// Hooks that do not answer, or are too busy to be asked, cost the deadline and nothing else; a late answer is dropped.
func TestHooksLate(t *testing.T) {
	a, change := newAsker(t, "on arrival {\n\trefuse(21)\n}\n")
	r := newRig(t, 10, change)
	r.offer(1, "2001")
	r.wait(19 * ms)
	r.none(two)
	r.wait(2 * ms)
	r.one(two, isup.IAM)
	r.answer(a)
	r.none(client)
	if r.c.Counters.HookLate != 1 {
		t.Error("not counted")
	}
	a.busy = true
	r.offer(2, "2001")
	r.one(two, isup.IAM)
	if r.c.Counters.HookBusy != 1 {
		t.Error("not counted")
	}
	b, change := newAsker(t, "@failure(refuse)\non arrival {\n}\n")
	r = newRig(t, 10, change)
	b.busy = true
	r.offer(1, "2001")
	if m := r.one(client, isup.REL); m.Cause != isup.CauseCongestion {
		t.Errorf("%+v", m)
	}
}

// The caller leaves while its call waits for its hooks, at either place.
func TestCallerLeavesWhileHooksRun(t *testing.T) {
	a, change := newAsker(t, "on arrival {\n}\non attempt_end {\n}\n")
	r := newRig(t, 10, change)
	r.offer(1, "2001")
	r.from(client, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: 16})
	r.one(client, isup.RLC)
	r.answer(a)
	r.wait(sec)
	r.none(two)
	r.none(client)
	r.offer(2, "2001")
	r.answer(a)
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 34})
	r.one(two, isup.RLC)
	r.offer(3, "2003") // it may take the circuit that is free again
	r.answer(a)        // attempt_end of call 2 ...
	r.take(client)
	r.answer(a) // ... and arrival of call 3
	seen := map[uint16]uint32{}
	for _, m := range r.take(two) {
		if m.Type != isup.IAM || seen[m.CIC] != 0 {
			t.Errorf("%v on circuit %d, which call %d has", m.Type, m.CIC, seen[m.CIC])
		}
		seen[m.CIC] = m.Ref.ID
	}
	if len(seen) != 2 { // call 3, and call 2 again
		t.Errorf("%v", seen)
	}
	r.from(client, 900, isup.Message{Type: isup.REL, CIC: 2, Cause: 16})
	r.from(client, 900, isup.Message{Type: isup.REL, CIC: 3, Cause: 16})
	r.take(two)
	r.take(client)
	r.offer(4, "2001")
	r.answer(a)
	cic = r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 34})
	r.one(two, isup.RLC)
	r.from(client, 900, isup.Message{Type: isup.REL, CIC: 4, Cause: 16})
	r.one(client, isup.RLC)
	r.none(two) // nothing is out that could be released
	r.answer(a)
	r.wait(5 * sec)
	if r.c.Waiting() != 0 {
		t.Errorf("%d calls wait", r.c.Waiting())
	}
}

// A hook that always says "try again" gets no more attempts than the module allows, and each only where it allows.
func TestTryAgainForEver(t *testing.T) {
	a, change := newAsker(t, "on attempt_end {\n\ttreat_as(34)\n}\n")
	r := newRig(t, 10, change)
	r.offer(1, "2001")
	iams := 0
	for range 100 {
		for _, x := range []struct {
			a  AssocID
			pc uint32
		}{{two, 2}, {three, 3}} {
			for _, m := range r.take(x.a) {
				if m.Type == isup.IAM {
					iams++
					r.from(x.a, x.pc, isup.Message{Type: isup.REL, CIC: m.CIC, Cause: isup.CauseUserBusy})
				}
			}
		}
		if len(a.asks) > 0 {
			r.answer(a)
		}
		r.wait(50 * ms)
	}
	if iams < 1 || iams > 4 {
		t.Errorf("%d attempts", iams)
	}
	if m := r.one(client, isup.REL); m.Cause != isup.CauseUserBusy { // the caller hears the truth
		t.Errorf("%+v", m)
	}
}

// Each call keeps the set that it arrived under.
func TestCallKeepsItsSet(t *testing.T) {
	a, change := newAsker(t, "on arrival {\n\ttag(\"old\")\n}\non attempt_end {\n\ttag2()\n}\nfn tag2() {\n}\n")
	r := newRig(t, 10, change)
	r.offer(1, "2001")
	old := a.set
	b, _ := newAsker(t, "on arrival {\n\trefuse(21)\n}\n")
	a.set = b.set
	r.answer(a)
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 17})
	if len(a.asks) != 1 || a.asks[0].Set != old {
		t.Fatalf("%+v", a.asks)
	}
	r.answer(a)
	if e := r.ends[len(r.ends)-1]; e.Set != old || len(e.Tags) != 1 {
		t.Errorf("%+v", e)
	}
	r.offer(2, "2001")
	r.answer(a)
	if m := r.take(client); m[len(m)-1].Cause != 21 {
		t.Errorf("%v", types(m))
	}
}
