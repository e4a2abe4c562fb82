package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/umbergauge/umbergauge/platform/discovery"
)

// cases are the cases by name, with the rules that they judge.
var cases = map[string]struct {
	run   func(w *world) error
	rules []string
}{
	"long": {long, []string{"lost"}}, "stale": {stale, []string{"second copy"}}, "late": {late, []string{"release"}}, "mute": {mute, []string{"release"}},
	"outage": {outage, []string{"release"}}, "zone": {zone, []string{"release"}}, "drain": {drain, []string{"drain"}}, "pools": {pools, []string{"unasked"}},
	"again": {again, []string{"guard"}}, "calm": {calm, []string{"lost", "second copy", "release", "drain", "unasked", "guard", "late"}},
}

func prompt(hold time.Duration) answer {
	return answer{after: 20 * time.Millisecond, status: 200, hold: hold}
}

// calm is a run without any disruption.
func calm(w *world) error {
	if err := w.open(3, func(in *invite) answer { return prompt(3 * time.Second) }); err != nil {
		return err
	}
	w.caller.traffic(10*time.Second, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	time.Sleep(5 * time.Second)
	return w.judge(true)
}

// late: of the calls to one switch, one in six gets its answers after their time, the one to the set-up 100 ms after X-Patience and
// the one to its release 1.2 s after the release.
func late(w *world) error {
	n, late := 0, 0
	err := w.open(3, func(in *invite) answer {
		a := prompt(6 * time.Second)
		if in.number == 0 && in.board.cell == 1 {
			if n++; w.trouble && n%6 == 0 {
				late++
				a.after, a.always = in.patience+100*time.Millisecond, true
				in.board.confirmAfter[in.id] = 1200 * time.Millisecond
			}
		}
		return a
	})
	if err != nil {
		return err
	}
	w.caller.traffic(25*time.Second, 50*time.Millisecond, 3*time.Second, 1, 1, 2, 3)
	time.Sleep(9 * time.Second)
	return w.judge(late > 0)
}

// outage: discovery is down for 12 s; meanwhile a switch drains, stops and is replaced by a new one at its address.
func outage(w *world) error {
	if err := w.open(3, func(in *invite) answer { return prompt(40 * time.Second) }); err != nil {
		return err
	}
	w.caller.traffic(4*time.Second, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	time.Sleep(time.Second)

	w.mu.Lock()
	began := time.Now()
	if w.trouble {
		w.names.silence("")
	}
	w.mu.Unlock()
	time.Sleep(time.Second)

	w.mu.Lock()
	old := w.switches[1]
	drains := listOf(w.switches...)
	drains[1].State = discovery.Draining
	w.names.set(drains)
	w.mu.Unlock()
	time.Sleep(2 * time.Second)

	stood := old.die()
	w.mu.Lock()
	w.names.set(listOf(w.switches[0], w.switches[2], w.switches[3]))
	w.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)

	next := &switchboard{w: w, id: "s-00d50001", cell: 1, addr: old.addr, started: time.Now().UnixMilli(), standing: map[string]*standing{}, plan: old.plan,
		confirmAfter: map[string]time.Duration{}}
	if err := next.listen(); err != nil {
		return err
	}
	w.mu.Lock()
	w.switches = append(w.switches, next)
	w.names.set(listOf(w.switches[0], next, w.switches[2], w.switches[3]))
	w.mu.Unlock()
	time.Sleep(12*time.Second - time.Since(began))
	w.mu.Lock()
	w.names.silent = false
	w.log("name service: answers")
	w.mu.Unlock()
	time.Sleep(4 * time.Second)
	return w.judge(stood > 0)
}

// drain: the name service is silent for 8 s, and 0.5 s after that began a switch drains.
func drain(w *world) error {
	if err := w.open(3, func(in *invite) answer { return prompt(5 * time.Second) }); err != nil {
		return err
	}
	w.caller.traffic(5*time.Second, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	w.mu.Lock()
	began := time.Now()
	if w.trouble {
		w.names.silence(w.switches[1].id)
	}
	w.mu.Unlock()
	w.caller.traffic(500*time.Millisecond, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	w.mu.Lock()
	drains := listOf(w.switches...)
	drains[1].State = discovery.Draining
	w.names.set(drains)
	w.mu.Unlock()
	w.caller.traffic(8*time.Second-time.Since(began), 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	w.mu.Lock()
	w.names.silent = false
	w.log("name service: answers")
	w.mu.Unlock()
	w.caller.traffic(3*time.Second, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	time.Sleep(6500 * time.Millisecond)
	return w.judge(true)
}

// long: the controller stands still for 1.5 s every 3 s and then finds all that came meanwhile. The descriptions in the answers have
// 8,000 octets, and all calls share one connection.
func long(w *world) error {
	err := w.open(3, func(in *invite) answer {
		return answer{after: 150 * time.Millisecond, status: 200, hold: 4 * time.Second, long: 8000}
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	for _, x := range w.caller.conns[1:] {
		x.own = true
		x.Close()
	}
	w.caller.conns = w.caller.conns[:1]
	w.mu.Unlock()
	offer := func(d time.Duration) { w.caller.traffic(d, 33*time.Millisecond, 3*time.Second, 1, 2, 3) }
	offer(6 * time.Second)
	for range 6 {
		if w.trouble {
			w.control.signal(syscall.SIGSTOP)
		}
		offer(1500 * time.Millisecond)
		if w.trouble {
			w.control.signal(syscall.SIGCONT)
		}
		offer(1500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return w.judge(true)
}

// pools: the far ends are pools of agents, the first class may go to pool 1 only, and pool 1 is full.
func pools(w *world) error {
	w.settings = strings.NewReplacer(`"self_no":0,"shape":"mesh"`, `"self_no":-1,"shape":"pools"`, `"pools_by_class":[]`, `"pools_by_class":[[1],[2,3]]`).Replace(settings)
	err := w.open(3, func(in *invite) answer {
		if in.board.cell != 1 {
			w.breaks("unasked", "call %s of class map-tile, which may go to pool 1 only, went to pool %d", in.id, in.board.cell)
		} else if w.trouble {
			return answer{after: 20 * time.Millisecond, status: 503, note: "group_full"}
		}
		return prompt(2 * time.Second)
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	for _, s := range w.switches { // NOTIFY with the free agents of each pool
		for _, c := range s.conns {
			free := 100
			if s.cell == 1 && w.trouble {
				free = 0
			}
			c.send(&message{start: "NOTIFY sip:x@net SIP/2.0", header: map[string]string{"Call-ID": "x", "CSeq": "1 NOTIFY", "X-State": fmt.Sprintf("free:%d;size:100", free)}})
		}
	}
	w.mu.Unlock()
	w.caller.traffic(6*time.Second, 100*time.Millisecond, 3*time.Second, 1)
	time.Sleep(4 * time.Second)
	return w.judge(true)
}

// zone: a zone is lost for 5 s and returns cold: the controller and one switch, with its calls.
func zone(w *world) error {
	if err := w.open(3, func(in *invite) answer { return prompt(18 * time.Second) }); err != nil {
		return err
	}
	w.caller.traffic(4*time.Second, 100*time.Millisecond, 3*time.Second, 1, 2, 3)
	time.Sleep(time.Second)

	w.control.kill()
	lost, stood := w.switches[1], 0
	if w.trouble {
		stood = lost.die()
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.mu.Lock()
		lost.started = time.Now().UnixMilli()
		w.names.set(listOf(w.switches...))
		w.mu.Unlock()
		if err := lost.listen(); err != nil {
			return err
		}
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.control.start(); err != nil {
		return err
	}
	if err := w.caller.connect(4); err != nil {
		return err
	}
	w.mu.Lock()
	w.caller.report()
	w.mu.Unlock()
	w.caller.traffic(10*time.Second, 300*time.Millisecond, 3*time.Second, 1, 2, 3)
	time.Sleep(8 * time.Second)
	return w.judge(stood > 0)
}

// stale: one in ten answers of a switch is lost, as its connection is reset when it is sent. The call stands there all the same and
// comes to its end soon. The answer to a second set-up takes 0.4 s.
func stale(w *world) error {
	n, lost := 0, 0
	err := w.open(3, func(in *invite) answer {
		a := prompt(6 * time.Second)
		if in.number > 0 {
			a.after = 400 * time.Millisecond
		} else if in.board.cell == 1 {
			if n++; w.trouble && n%10 == 0 {
				lost++
				a.lost, a.hold = true, 300*time.Millisecond
			}
		}
		return a
	})
	if err != nil {
		return err
	}
	w.caller.traffic(30*time.Second, 100*time.Millisecond, 3*time.Second, 1, 1, 2, 3)
	time.Sleep(8 * time.Second)
	return w.judge(lost > 0)
}

// mute: an answer of a switch never comes, and the connection that stays open is of no further use.
func mute(w *world) error {
	phase, stood := 0, 0
	err := w.open(3, func(in *invite) answer {
		a := prompt(time.Duration(4+in.id[15]&3) * time.Second)
		if in.board.cell == 1 && phase == 0 {
			a.after = 150 * time.Millisecond
		}
		if w.trouble && phase == 1 && len(in.board.conns) > 1 && in.conn == in.board.conns[1] {
			phase = 2
			in.conn.mute = true
			for _, st := range in.board.standing {
				if st.conn == in.conn {
					stood++
				}
			}
			w.log("%s: the answer to %s never comes, and nothing more on its connection", in.board.id, in.id)
			a.never = true
		}
		return a
	})
	if err != nil {
		return err
	}
	w.caller.traffic(4*time.Second, 50*time.Millisecond, 3*time.Second, 1, 1, 2, 3)
	w.mu.Lock()
	phase = 1
	w.mu.Unlock()
	for range 4 {
		w.mu.Lock()
		w.caller.offer(1, 3*time.Second)
		w.caller.offer(1, 3*time.Second)
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	w.caller.traffic(25*time.Second, 500*time.Millisecond, 3*time.Second, 1, 2, 3)
	return w.judge(stood > 0)
}

// again: a client that is not a usual one takes a set-up back and sends the same again at once, under the same id.
func again(w *world) error {
	err := w.open(3, func(in *invite) answer { return answer{after: 300 * time.Millisecond, status: 500} })
	if err != nil {
		return err
	}
	x, err := w.caller.dial(true)
	if err != nil {
		return err
	}
	why := 16
	for i := range 10 {
		w.mu.Lock()
		k := &call{id: w.newID(), class: "map-tile", dest: 1 + i%3, sent: time.Now(), left: 2 * time.Second, overs: map[string]end{}, bad: true, conn: x}
		w.calls[k.id], w.order = k, append(w.order, k)
		x.send(w.caller.offerLine(k, ""))
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		if w.trouble {
			w.mu.Lock()
			x.send(&line{Op: "end", Call: k.id, With: map[string]string{}, Why: &why})
			x.send(w.caller.offerLine(k, ""))
			w.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
	return w.judge(true)
}
