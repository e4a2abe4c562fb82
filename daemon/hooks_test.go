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

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Scripts are loaded, changed, refused, tried beside the live ones and rolled back, all with calls coming.
func TestHooksInService(t *testing.T) {
	dir := t.TempDir()
	file, examples, shadow := filepath.Join(dir, "h.ug"), filepath.Join(dir, "e.yaml"), filepath.Join(dir, "s.ug")
	write(t, file, "on arrival {\n\tif call.called == \"112\" {\n\t\trewrite(\"2112\")\n\t}\n}\non final {\n\tlog(\"took\", result.after)\n}\n")
	write(t, examples, "- hook: arrival\n  event: {call.called: \"112\"}\n  want: {rewrite: \"2112\"}\n")
	r := newRig(t, tcp(), func(c *config.Config, _ *Options) {
		c.Control = "127.0.0.1:0"
		c.Hooks.Files, c.Hooks.Examples = []string{file}, []string{examples}
		c.Hooks.Deadline = time.Second // a busy machine is not the point here
	})
	c := r.client(900)
	o, err := textproto.Dial("tcp", r.d.ControlAddr())
	if err != nil {
		t.Fatal(err)
	}
	o.ReadResponse(220)
	ask := func(line string, code int) string {
		t.Helper()
		o.PrintfLine("%s", line)
		_, text, err := o.ReadCodeLine(code)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if strings.HasSuffix(text, "follows") {
			b, _ := o.ReadDotLines()
			text = strings.Join(b, "\n")
		}
		return text
	}
	k := call(time.Hour)
	k.Called = "112"
	c.Offer(k)
	r.until("112 stands", func() bool { return r.counters().Established == 1 })
	write(t, file, "on arrival {\n\trefus(21)\n}\n")
	if text := ask("hooks load", 554); !strings.Contains(text, "h.ug:2:2: there is no function refus; refuse?") {
		t.Errorf("%q", text)
	}
	write(t, file, "on arrival {\n\trefuse(21)\n}\n")
	if text := ask("hooks load", 554); !strings.Contains(text, "example 1 (arrival)") {
		t.Errorf("%q", text)
	}
	c.Offer(k)
	r.until("112 stands still", func() bool { return r.counters().Established == 2 })
	write(t, file, "on arrival {\n\tif call.called == \"112\" {\n\t\trewrite(\"2112\")\n\t}\n\tif call.called == \"2666\" {\n\t\trefuse(21)\n\t}\n}\n")
	ask("hooks load", 200)
	k.Called = "2666"
	c.Offer(k)
	r.until("2666 is refused", func() bool { return r.counters().HookRefused == 1 })
	write(t, shadow, "on arrival {\n\tset_class(\"a\")\n}\n")
	ask("hooks shadow "+shadow, 200)
	c.Offer(k)
	r.until("the shadow is compared", func() bool { return strings.Contains(ask("show hooks", 211), "1 runs, 1 differ") })
	if r.counters().HookRefused != 2 {
		t.Error("the shadow has changed something")
	}
	ask("hooks shadow off", 200)
	ask("hooks rollback", 200)
	c.Offer(k)
	r.until("the version before lets it through", func() bool { return r.counters().Established == 3 })
	ask("hooks rollback", 554)
	ask("hooks dance", 554)
	if text := ask("show hooks", 211); !strings.Contains(text, "live version 1") || !strings.Contains(text, "in use") {
		t.Errorf("%s", text)
	}
	if _, err := New(Options{Config: func() *config.Config {
		x := *r.d.cfg
		x.Hooks.Files = []string{filepath.Join(dir, "none.ug")}
		return &x
	}(), Log: r.d.log}); err == nil {
		t.Error("a daemon starts without its scripts")
	}
	o.Close()
	c.Close()
	r.close()
}

// Final hooks put their words on the log line; a hook that fails is taken out and that is said.
func TestHooksInTheLog(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "h.ug")
	write(t, file, "on arrival {\n\ttag(\"seen\")\n\tif call.called == \"2666\" {\n\t\tfail \"beast\"\n\t}\n}\non final {\n\tif result.outcome == \"finished\" {\n\t\tlog(\"via\", result.via)\n\t}\n}\nevery 2s {\n\tlog(\"offered\", system.offered)\n}\non list_change {\n\tlog(\"state\", exchange.state)\n}\n")
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), func(c *config.Config, _ *Options) { c.Hooks.Files = []string{file} })
		c := r.client(900)
		c.Offer(call(time.Second))
		k := call(time.Second)
		k.Called = "2666"
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			c.Offer(k)
		}
		r.until("all are over", func() bool { return r.counters().Finished == 11 })
		if n := r.counters(); n.HookAsked != 11 {
			t.Errorf("%+v", n)
		}
		r.switches[0].SendStatus(0x0206, 2) // DRST
		time.Sleep(3 * time.Second)
		c.Close()
		r.close()
		text := r.log.String()
		for _, want := range []string{`"x_via":"2"`, `"tags":["seen"]`, `"x_offered":"11"`, `"x_state":"draining"`, "h.ug:1 is out", "beast"} {
			if !strings.Contains(text, want) {
				t.Errorf("the log has no %s", want)
			}
		}
	})
}
