package daemon

import (
	"net/textproto"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbergauge/umbergauge/internal/config"
)

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Scripts are loaded, rejected with errors, replaced, compared as a shadow and rolled back while calls arrive. A rejected set
// must leave the live one in place, and a shadow must change no call.
func TestHooksAreReloadedComparedAndRolledBackDuringCalls(t *testing.T) {
	dir := t.TempDir()
	file, examples, shadow := filepath.Join(dir, "h.ug"), filepath.Join(dir, "e.yaml"), filepath.Join(dir, "s.ug")
	writeFile(t, file, "on arrival {\n\tif call.called == \"112\" {\n\t\trewrite(\"2112\")\n\t}\n}\non final {\n\tlog(\"took\", result.after)\n}\n")
	writeFile(t, examples, "- hook: arrival\n  event: {call.called: \"112\"}\n  want: {rewrite: \"2112\"}\n")
	r := newTestbed(t, tcpTransport(), func(c *config.Config, _ *Options) {
		c.Control = "127.0.0.1:0"
		c.Hooks.Files, c.Hooks.Examples = []string{file}, []string{examples}
		c.Hooks.Deadline = time.Second // long, so that a busy machine does not miss it
	})
	c := r.newClient(900)
	operator, err := textproto.Dial("tcp", r.d.ControlAddr())
	if err != nil {
		t.Fatal(err)
	}
	operator.ReadResponse(220)
	ask := func(line string, code int) string {
		t.Helper()
		operator.PrintfLine("%s", line)
		_, text, err := operator.ReadCodeLine(code)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if strings.HasSuffix(text, "follows") {
			b, _ := operator.ReadDotLines()
			text = strings.Join(b, "\n")
		}
		return text
	}
	k := testCall(time.Hour)
	k.Called = "112"
	c.Offer(k)
	r.waitUntil("the call to 112 is established", func() bool { return r.counters().Established == 1 })
	writeFile(t, file, "on arrival {\n\trefus(21)\n}\n")
	if text := ask("hooks load", 554); !strings.Contains(text, "h.ug:2:2: there is no function refus; refuse?") {
		t.Errorf("hooks load answered %q, want an error at h.ug:2:2", text)
	}
	writeFile(t, file, "on arrival {\n\trefuse(21)\n}\n")
	if text := ask("hooks load", 554); !strings.Contains(text, "example 1 (arrival)") {
		t.Errorf("hooks load answered %q, want an error of example 1", text)
	}
	c.Offer(k)
	r.waitUntil("the second call to 112 is established", func() bool { return r.counters().Established == 2 })
	writeFile(t, file, "on arrival {\n\tif call.called == \"112\" {\n\t\trewrite(\"2112\")\n\t}\n\tif call.called == \"2666\" {\n\t\trefuse(21)\n\t}\n}\n")
	ask("hooks load", 200)
	k.Called = "2666"
	c.Offer(k)
	r.waitUntil("the call to 2666 is refused", func() bool { return r.counters().HookRefused == 1 })
	writeFile(t, shadow, "on arrival {\n\tset_class(\"a\")\n}\n")
	ask("hooks shadow "+shadow, 200)
	c.Offer(k)
	r.waitUntil("the shadow's result is compared", func() bool { return strings.Contains(ask("show hooks", 211), "1 runs, 1 differ") })
	if r.counters().HookRefused != 2 {
		t.Error("the shadow changed the outcome of a call")
	}
	ask("hooks shadow off", 200)
	ask("hooks rollback", 200)
	c.Offer(k)
	r.waitUntil("the earlier version accepts the call", func() bool { return r.counters().Established == 3 })
	ask("hooks rollback", 554)
	ask("hooks unknown", 554)
	if text := ask("show hooks", 211); !strings.Contains(text, "live version 1") || !strings.Contains(text, "in use") {
		t.Errorf("show hooks answered %s, want live version 1 in use", text)
	}
	if _, err := New(Options{Config: func() *config.Config {
		x := *r.d.cfg
		x.Hooks.Files = []string{filepath.Join(dir, "none.ug")}
		return &x
	}(), Log: r.d.log}); err == nil {
		t.Error("New succeeds although a script file is missing")
	}
	operator.Close()
	c.Close()
	r.close()
}

// Tags and log fields of hooks must reach the log, and a hook that keeps failing must be taken out by its breaker, with a log
// line that names it and its error.
func TestHookLogFieldsAndBreakerTripsReachTheLog(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "h.ug")
	writeFile(t, file, "on arrival {\n\ttag(\"seen\")\n\tif call.called == \"2666\" {\n\t\tfail \"rejected number\"\n\t}\n}\non final {\n\tif result.outcome == \"finished\" {\n\t\tlog(\"via\", result.via)\n\t}\n}\nevery 2s {\n\tlog(\"offered\", system.offered)\n}\non list_change {\n\tlog(\"state\", exchange.state)\n}\n")
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), func(c *config.Config, _ *Options) { c.Hooks.Files = []string{file} })
		c := r.newClient(900)
		c.Offer(testCall(time.Second))
		k := testCall(time.Second)
		k.Called = "2666"
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			c.Offer(k)
		}
		r.waitUntil("all calls finished", func() bool { return r.counters().Finished == 11 })
		if n := r.counters(); n.HookAsked != 11 {
			t.Errorf("counters %+v, want 11 hook requests", n)
		}
		r.switches[0].SendStatus(0x0206, 2) // DRST
		time.Sleep(3 * time.Second)
		c.Close()
		r.close()
		text := r.log.String()
		for _, want := range []string{`"x_via":"2"`, `"tags":["seen"]`, `"x_offered":"11"`, `"x_state":"draining"`, "h.ug:1 is out", "rejected number"} {
			if !strings.Contains(text, want) {
				t.Errorf("the log has no %s", want)
			}
		}
	})
}
