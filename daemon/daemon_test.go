package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/internal/memnet"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a daemon of exchange 1 with its own switch and that of exchange 2.
type rig struct {
	t        *testing.T
	net      *emulator.Network
	switches []*emulator.Switch
	d        *Daemon
	done     chan error
	cancel   context.CancelFunc
	log      bytes.Buffer
}

type world struct {
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
}

func memory() world {
	n := &memnet.Network{}
	return world{n.Dial, n.Listen}
}

func tcp() world {
	var d net.Dialer
	return world{func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
		func(a string) (net.Listener, error) { return net.Listen("tcp", a) }}
}

func newRig(t *testing.T, w world, change func(*config.Config, *Options)) *rig {
	t.Helper()
	r := &rig{t: t, net: &emulator.Network{Dial: w.dial, Listen: w.listen, Log: record.New()}, done: make(chan error, 1)}
	c := config.Default()
	c.Exchange, c.Listen = 1, "127.0.0.1:0"
	c.Classes = []config.Class{{Name: "a", Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, Worth: 1}}
	c.Association = config.Association{Ack: time.Second, Tries: 3, Beat: time.Second, BeatLimit: 3 * time.Second, DialLimit: time.Second,
		WriteLimit: 2 * time.Second, BackoffMin: 50 * time.Millisecond, BackoffMax: time.Second, Queue: 64 * 1024}
	c.DrainLimit = 5 * time.Second
	for pc := uint32(1); pc <= 2; pc++ {
		s := emulator.NewSwitch(r.net, emulator.SwitchConfig{PC: pc, Prefixes: []string{fmt.Sprint(pc)}, Circuits: map[uint32]int{3 - pc: 20}, Rate: 1000})
		addr, err := s.Start("127.0.0.1:0", false)
		if err != nil {
			t.Fatal(err)
		}
		r.switches = append(r.switches, s)
		x := config.Exchange{PointCode: pc, Switch: []string{addr}, Prefixes: []string{fmt.Sprint(pc)}}
		if pc == 2 {
			x.Circuits = 20
		}
		c.Exchanges = append(c.Exchanges, x)
	}
	o := Options{Config: &c, Log: zerolog.New(zerolog.SyncWriter(&r.log)), Dial: w.dial, Listen: w.listen}
	if change != nil {
		change(&c, &o)
	}
	if err := c.Check("rig"); err != nil {
		t.Fatal(err)
	}
	d, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	r.d = d
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.done <- d.Run(ctx) }()
	r.until("ready", func() bool { return d.Ready(ctx) })
	return r
}

// until waits for something that comes about by itself.
func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.t.Fatalf("waited in vain for: %s", what)
}

func (r *rig) close() {
	r.cancel()
	<-r.done
	for _, s := range r.switches {
		s.Close()
	}
}

func (r *rig) client(pc uint32) *emulator.Client {
	c := emulator.NewClient(r.net, emulator.ClientConfig{PC: pc, Controller: 1, Addr: r.d.Addr(), Seed: 1})
	r.until("client connected", c.Connected)
	return c
}

func (r *rig) counters() controller.Counters { return r.d.Counters(context.Background()) }

func call(hold time.Duration) emulator.Call {
	return emulator.Call{Calling: "9001", Called: "2001", Category: isup.CategoryOrdinary, Hold: hold, Patience: 3 * time.Second}
}

// raw connects as a client by hand.
func (r *rig) raw(asp uint32) net.Conn {
	r.t.Helper()
	c, err := r.net.Dial(context.Background(), r.d.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: asp}))
	c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPAC}))
	return c
}

func (r *rig) frame(cic uint16, called string) []byte {
	n, _ := isup.ParseNumber(4, called)
	return m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 900, DPC: 1, SI: 5,
		User: isup.Append(nil, &isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: n})}})
}

// closed tells whether the far end ends a connection, reading away what still comes.
func (r *rig) closed(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	return err == nil || !strings.Contains(err.Error(), "deadline") && !strings.Contains(err.Error(), "timeout")
}

// A call through real sockets on loopback, then an orderly end.
func TestCallOverSockets(t *testing.T) {
	r := newRig(t, tcp(), nil)
	c := r.client(900)
	c.Offer(call(50 * time.Millisecond))
	r.until("the call is finished", func() bool { return r.counters().Finished == 1 })
	if k := r.counters(); k.Established != 1 || k.Offered != 1 {
		t.Errorf("%+v", k)
	}
	c.Close()
	r.d.Drain()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done <- nil
	r.close()
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), nil)
		c := r.client(900)
		c.Offer(call(2 * time.Second))
		c.Offer(call(time.Hour))
		r.until("two stand", func() bool { return r.counters().Established == 2 })
		begin := time.Now()
		r.d.Drain()
		time.Sleep(100 * time.Millisecond)
		c.Offer(call(time.Second))
		if err := <-r.done; err != nil {
			t.Error(err)
		}
		if d := time.Since(begin); d < 5*time.Second || d > 6*time.Second {
			t.Errorf("it took %v; the limit is 5 s", d)
		}
		time.Sleep(time.Second)
		if k := c.Totals(); k.Answered != 2 || k.Refused != 1 || k.Cut != 1 {
			t.Errorf("%+v", k)
		}
		c.Close()
		r.done <- nil
		r.close()
	})
}

// bomb is a module that panics when a certain number is called.
type bomb struct{ controller.Engine }

func (b bomb) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	if o, ok := ev.(policy.Offered); ok && strings.HasSuffix(o.Number, "666") {
		panic("the number of the beast")
	}
	return b.Engine.Handle(now, ev, out)
}

// A panic that a client's frame sets off costs that client its connection, and nobody else anything.
func TestPanicCostsItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), func(_ *config.Config, o *Options) {
			o.Engine = func(c policy.Config) (controller.Engine, error) {
				m, err := policy.New(c)
				return bomb{m}, err
			}
		})
		good := r.client(900)
		bad := r.raw(901)
		time.Sleep(100 * time.Millisecond)
		bad.Write(r.frame(1, "2666"))
		if !r.closed(bad, 2*time.Second) {
			t.Error("the connection that brought the panic is kept")
		}
		good.Offer(call(time.Second))
		r.until("the other's call stands", func() bool { return r.counters().Established == 1 })
		if !strings.Contains(r.log.String(), "number of the beast") {
			t.Error("nothing in the log")
		}
		good.Close()
		r.close()
	})
}

// Peers that cost only themselves: endless partial frames, floods of malformed ones, a length that lies, nothing at all.
func TestBadPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), nil)
		good := r.client(900)
		for name, f := range map[string]func(net.Conn){
			"partial frame": func(c net.Conn) { c.Write(r.frame(1, "2001")[:30]) },
			"malformed": func(c net.Conn) {
				b := r.frame(1, "2001")
				b[len(b)-1], b[13] = 9, 0xff // a parameter longer than the frame
				for range 200 {
					c.Write(b)
				}
			},
			"length that lies": func(c net.Conn) { c.Write([]byte{1, 0, 1, 1, 0xff, 0xff, 0xff, 0xff}) },
			"silence":          func(c net.Conn) {},
		} {
			c := r.raw(901)
			f(c)
			if !r.closed(c, 10*time.Second) {
				t.Errorf("%s: the connection is kept", name)
			}
			c.Close()
		}
		c, _ := r.net.Dial(context.Background(), r.d.Addr()) // never says ASPUP
		if !r.closed(c, 10*time.Second) {
			t.Error("a peer that never says ASPUP is kept")
		}
		good.Offer(call(time.Second))
		r.until("the good one's call stands", func() bool { return r.counters().Established == 1 })
		good.Close()
		r.close()
	})
}

// A client that never reads loses its connection when its queue is full, within the write limit; its calls are withdrawn,
// the others' are not touched.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), func(c *config.Config, _ *Options) { c.Association.Queue = 8192 })
		good := r.client(900)
		slow := r.raw(901)
		for i := range 4000 { // each is refused at once: no such number
			if _, err := slow.Write(r.frame(uint16(i), "77")); err != nil {
				break
			}
		}
		good.Offer(call(time.Second))
		r.until("the good one's call stands", func() bool { return r.counters().Established == 1 })
		r.until("the slow one is cut off", func() bool { return r.d.clients.Load() == 1 })
		good.Close()
		r.close()
	})
}

// A switch that accepts and never answers ASPUP is given up and tried again.
func TestSilentSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := memory()
		r := newRig(t, w, nil)
		l, _ := w.listen("127.0.0.1:9")
		var accepted atomic.Int32
		go func() {
			for {
				if _, err := l.Accept(); err != nil {
					return
				}
				accepted.Add(1)
			}
		}()
		cfg := *r.d.cfg
		cfg.Exchanges = append([]config.Exchange(nil), cfg.Exchanges...)
		cfg.Exchanges = append(cfg.Exchanges, config.Exchange{PointCode: 3, Switch: []string{"127.0.0.1:9"}, Circuits: 5, Prefixes: []string{"3"}})
		if err := r.d.Reload(context.Background(), &cfg); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if n := accepted.Load(); n < 4 || n > 8 {
			t.Errorf("%d connections in 20 s: given up after 3 s, then tried again", n)
		}
		c := r.client(900)
		k := call(time.Second)
		k.Called = "3001"
		c.Offer(k)
		r.until("refused", func() bool { return c.Totals().Refused == 1 })
		c.Close()
		l.Close()
		r.close()
	})
}

func TestClientsOfTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), func(c *config.Config, _ *Options) {
			c.Tenants = []config.Tenant{{Name: "x"}, {Name: "y"}}
			c.Clients = []config.Client{{Name: "branch", ASP: 900, Tenant: "y"}}
			c.Limits.Clients = 2
		})
		stranger := r.raw(901)
		if !r.closed(stranger, 2*time.Second) {
			t.Error("a stranger is let in")
		}
		known := r.client(900)
		known.Offer(call(time.Second))
		r.until("stands", func() bool { return r.counters().Established == 1 })
		a := r.raw(900)
		time.Sleep(10 * time.Millisecond)
		b := r.raw(900)
		if !r.closed(b, time.Second) {
			t.Error("a third connection is let in")
		}
		a.Close()
		known.Close()
		r.close()
	})
}

func TestControlPort(t *testing.T) {
	r := newRig(t, tcp(), func(c *config.Config, _ *Options) { c.Control, c.Metrics = "127.0.0.1:0", "127.0.0.1:0" })
	c := r.client(900)
	c.Offer(call(time.Hour))
	r.until("stands", func() bool { return r.counters().Established == 1 })
	o, err := textproto.Dial("tcp", r.d.ControlAddr())
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := o.ReadResponse(220); err != nil {
		t.Fatal(err)
	}
	ask := func(line string, code int, want string) {
		t.Helper()
		o.PrintfLine("%s", line)
		_, text, err := o.ReadCodeLine(code)
		if err != nil {
			t.Errorf("%s: %v", line, err)
			return
		}
		if code == 211 {
			b, _ := o.ReadDotLines()
			text = strings.Join(b, "\n")
		}
		if !strings.Contains(text, want) {
			t.Errorf("%s: %q has no %q", line, text, want)
		}
	}
	ask("help", 211, "show calls")
	ask("show calls", 211, "standing")
	ask("SHOW GROUPS", 211, "free   19 of   20, outgoing 1")
	ask("show exchanges", 211, "window")
	ask("show associations", 211, "own switch")
	ask("show counters", 211, "offered 1")
	ask("block 2", 200, "done")
	ask("show groups", 211, "free    0 of    0")
	ask("unblock 2", 200, "done")
	ask("show groups", 211, "free   19 of   20")
	ask("block 9", 504, "no trunk group")
	ask("block x", 501, "no point code")
	ask("show moon", 501, "cannot be shown")
	ask("dance", 500, "no command")
	res, err := http.Get("http://" + r.d.MetricsAddr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(res.Body)
	res.Body.Close()
	for _, want := range []string{`umbergauge_calls_total{class="a",outcome="stands"} 1`, "umbergauge_open_calls 1", `umbergauge_circuits_free{exchange="2"} 19`, `umbergauge_window{exchange="2"}`} {
		if !strings.Contains(string(b), want) {
			t.Errorf("metrics have no %s", want)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	o.PrintfLine("%s", strings.Repeat("x", 5000))
	if _, _, err := o.ReadResponse(0); err == nil {
		t.Error("an endless line is read")
	}
	o.Close()
	c.Close()
	r.close()
}

func TestReloadRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), nil)
		cfg := *r.d.cfg
		cfg.Exchange = 2
		if r.d.Reload(context.Background(), &cfg) == nil {
			t.Error("another point code passes")
		}
		cfg = *r.d.cfg
		cfg.Exchanges = cfg.Exchanges[:1]
		if r.d.Reload(context.Background(), &cfg) == nil {
			t.Error("a missing exchange passes")
		}
		r.close()
	})
}

// Odd ends are logged one by one, but in a storm only so many, with the number of those left out.
func TestOddLogIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), nil)
		c := r.client(900)
		k := call(time.Second)
		k.Called = "77"
		for range 300 {
			c.Offer(k)
		}
		r.until("all refused", func() bool { return c.Totals().Refused == 300 })
		time.Sleep(2 * time.Second)
		c.Offer(k)
		time.Sleep(time.Second)
		c.Close()
		r.close()
		if n := strings.Count(r.log.String(), `"outcome":"refused"`); n < 20 || n > 100 {
			t.Errorf("%d lines", n)
		}
		if !strings.Contains(r.log.String(), `"suppressed"`) {
			t.Error("those left out are not counted")
		}
	})
}
