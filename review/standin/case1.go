package main

import (
	"fmt"
	"syscall"
	"time"
)

// drainCase: a planned restart while one switch hangs through the whole of it. Calls in transit keep arriving. SIGKILL comes 3.8 s
// after SIGTERM: no sooner than the longest deadline, counted as 3 s, and 0.7 s more.
func drainCase(w *world) string {
	w.addSwitches(3)
	w.serveNames()
	w.startController()
	subscribers, err := w.dialCaller("subscribers")
	must(err)
	peers, err := w.dialCaller("peers")
	must(err)
	// Before the restart: calls to every far switch, each of which stands and is ended by its caller.
	for n := range 30 {
		call := subscribers.offer(1+n%3, "voice", 3*time.Second, false, "")
		if call == nil {
			cannotRun("the controller closed a connection before the restart")
		}
		time.AfterFunc(500*time.Millisecond, func() { subscribers.end(call) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	hung := w.switches[2]
	if w.trouble {
		hung.mu.Lock()
		hung.hung = true
		hung.mu.Unlock()
		w.logf("%s hangs from now on: it takes set-ups and answers none", hung.id)
	}
	sigterm := time.Now()
	w.logf("SIGTERM")
	w.controller.signal(syscall.SIGTERM)
	kill := sigterm.Add(3800 * time.Millisecond)
	// Calls in transit go on arriving, on the open connection or, where it was closed, on a new one, for as long as the process runs.
	for n := 0; time.Now().Before(kill.Add(-300*time.Millisecond)) && !w.controller.ended(); n++ {
		if peers.ended() {
			if peers, err = w.dialCaller("peers"); err != nil {
				w.logf("new connections are refused: %v", err)
				break
			}
		}
		peers.offer(1+n%3, "voice", 3300*time.Millisecond, true, "")
		time.Sleep(150 * time.Millisecond)
	}
	select {
	case <-w.controller.done:
		w.logf("the controller has ended by itself")
	case <-time.After(time.Until(kill)):
		w.logf("SIGKILL")
		w.controller.signal(syscall.SIGKILL)
		<-w.controller.done
	}
	time.Sleep(200 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	lost, counted := 0, 0
	for _, call := range w.calls {
		after := call.sentAt.Sub(sigterm)
		if after <= 750*time.Millisecond { // 0.7 s and 50 ms of slack
			continue
		}
		counted++
		if call.answers == 0 {
			lost++
			w.logLocked("lost: %s, sent %d ms after SIGTERM to exchange %d, had no answer when SIGKILL came", call.id, after.Milliseconds(), call.dest)
		}
	}
	w.logLocked("%d calls in transit came later than 0.75 s after SIGTERM, %d of them had no answer at SIGKILL", counted, lost)
	if counted == 0 {
		cannotRun("no call in transit came in the drain")
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d calls in transit that came later than 0.75 s after SIGTERM had no answer when SIGKILL came 3.8 s after SIGTERM", lost, counted)
	}
	return ""
}
