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

// testbed is a daemon of exchange 1 with its own emulated switch and that of exchange 2.
type testbed struct {
	t        *testing.T
	net      *emulator.Network
	switches []*emulator.Switch
	d        *Daemon
	done     chan error
	cancel   context.CancelFunc
	log      bytes.Buffer
}

type transport struct {
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	listen func(addr string) (net.Listener, error)
}

func memoryTransport() transport {
	n := &memnet.Network{}
	return transport{n.Dial, n.Listen}
}

func tcpTransport() transport {
	var d net.Dialer
	return transport{func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
		func(a string) (net.Listener, error) { return net.Listen("tcp", a) }}
}

func newTestbed(t *testing.T, network transport, change func(*config.Config, *Options)) *testbed {
	t.Helper()
	r := &testbed{t: t, net: &emulator.Network{Dial: network.dial, Listen: network.listen, Log: record.New()}, done: make(chan error, 1)}
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
	o := Options{Config: &c, Log: zerolog.New(zerolog.SyncWriter(&r.log)), Dial: network.dial, Listen: network.listen}
	if change != nil {
		change(&c, &o)
	}
	if err := c.Check("testbed"); err != nil {
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
	r.waitUntil("ready", func() bool { return d.Ready(ctx) })
	return r
}

// waitUntil polls f until it is true, for 20 s at most.
func (r *testbed) waitUntil(what string, f func() bool) {
	r.t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.t.Fatalf("condition not met within 20 s: %s", what)
}

func (r *testbed) close() {
	r.cancel()
	<-r.done
	for _, s := range r.switches {
		s.Close()
	}
}

func (r *testbed) newClient(pc uint32) *emulator.Client {
	c := emulator.NewClient(r.net, emulator.ClientConfig{PC: pc, Controller: 1, Addr: r.d.Addr(), Seed: 1})
	r.waitUntil("client connected", c.Connected)
	return c
}

func (r *testbed) counters() controller.Counters { return r.d.Counters(context.Background()) }

func testCall(hold time.Duration) emulator.Call {
	return emulator.Call{Calling: "9001", Called: "2001", Category: isup.CategoryOrdinary, Hold: hold, Patience: 3 * time.Second}
}

// dialRaw connects as a client with ASP identifier asp, without an emulated client.
func (r *testbed) dialRaw(asp uint32) net.Conn {
	r.t.Helper()
	c, err := r.net.Dial(context.Background(), r.d.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: asp}))
	c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPAC}))
	return c
}

func (r *testbed) iamFrame(cic uint16, called string) []byte {
	n, _ := isup.ParseNumber(4, called)
	return m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 900, DPC: 1, SI: 5,
		User: isup.Append(nil, &isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: n})}})
}

// closedByPeer reports whether the far end closes a connection within a time, discarding what it still sends.
func (r *testbed) closedByPeer(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	return err == nil || !strings.Contains(err.Error(), "deadline") && !strings.Contains(err.Error(), "timeout")
}

// Guards the whole path over real sockets: a call over TCP on loopback must be set up and released, and a drain must then end
// Run.
func TestCallOverLoopbackTCPIsSetUpAndReleased(t *testing.T) {
	r := newTestbed(t, tcpTransport(), nil)
	c := r.newClient(900)
	c.Offer(testCall(50 * time.Millisecond))
	r.waitUntil("the call is finished", func() bool { return r.counters().Finished == 1 })
	if k := r.counters(); k.Established != 1 || k.Offered != 1 {
		t.Errorf("counters %+v, want 1 established and 1 offered", k)
	}
	c.Close()
	r.d.Drain()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done <- nil
	r.close()
}

// A drain must refuse new calls, let established ones end, and release the rest at the drain limit of 5 s.
func TestDrainRefusesNewCallsAndCutsOpenOnesAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), nil)
		c := r.newClient(900)
		c.Offer(testCall(2 * time.Second))
		c.Offer(testCall(time.Hour))
		r.waitUntil("two calls established", func() bool { return r.counters().Established == 2 })
		begin := time.Now()
		r.d.Drain()
		time.Sleep(100 * time.Millisecond)
		c.Offer(testCall(time.Second))
		if err := <-r.done; err != nil {
			t.Error(err)
		}
		if d := time.Since(begin); d < 5*time.Second || d > 6*time.Second {
			t.Errorf("drain took %v; the drain limit is 5 s", d)
		}
		time.Sleep(time.Second)
		if k := c.Totals(); k.Answered != 2 || k.Refused != 1 || k.Cut != 1 {
			t.Errorf("client totals %+v, want 2 answered, 1 refused and 1 cut", k)
		}
		c.Close()
		r.done <- nil
		r.close()
	})
}

// panickingEngine is a policy engine that panics on calls to numbers ending in 666.
type panickingEngine struct{ controller.Engine }

func (p panickingEngine) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	if o, ok := ev.(policy.Offered); ok && strings.HasSuffix(o.Number, "666") {
		panic("panic on a number ending in 666")
	}
	return p.Engine.Handle(now, ev, out)
}

// A panic caused by a client's frame must close only that client's association and be logged; other calls go on.
func TestPanicOnAFrameClosesOnlyItsAssociation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), func(_ *config.Config, o *Options) {
			o.Engine = func(c policy.Config) (controller.Engine, error) {
				engine, err := policy.New(c)
				return panickingEngine{engine}, err
			}
		})
		good := r.newClient(900)
		bad := r.dialRaw(901)
		time.Sleep(100 * time.Millisecond)
		bad.Write(r.iamFrame(1, "2666"))
		if !r.closedByPeer(bad, 2*time.Second) {
			t.Error("the connection whose frame caused the panic is still open")
		}
		good.Offer(testCall(time.Second))
		r.waitUntil("the other client's call is established", func() bool { return r.counters().Established == 1 })
		if !strings.Contains(r.log.String(), "panic on a number ending in 666") {
			t.Error("the log does not show the panic")
		}
		good.Close()
		r.close()
	})
}

// A peer that sends a partial frame, many malformed frames, a frame with a false length, or nothing at all must lose its
// connection without effect on other clients.
func TestBadPeersAreDisconnectedAndOthersServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), nil)
		good := r.newClient(900)
		for name, f := range map[string]func(net.Conn){
			"partial frame": func(c net.Conn) { c.Write(r.iamFrame(1, "2001")[:30]) },
			"malformed": func(c net.Conn) {
				b := r.iamFrame(1, "2001")
				b[len(b)-1], b[13] = 9, 0xff // a parameter longer than the frame
				for range 200 {
					c.Write(b)
				}
			},
			"false length": func(c net.Conn) { c.Write([]byte{1, 0, 1, 1, 0xff, 0xff, 0xff, 0xff}) },
			"silence":      func(c net.Conn) {},
		} {
			c := r.dialRaw(901)
			f(c)
			if !r.closedByPeer(c, 10*time.Second) {
				t.Errorf("%s: the connection is still open", name)
			}
			c.Close()
		}
		c, _ := r.net.Dial(context.Background(), r.d.Addr()) // never sends ASPUP
		if !r.closedByPeer(c, 10*time.Second) {
			t.Error("the connection of a peer that never sends ASPUP is still open")
		}
		good.Offer(testCall(time.Second))
		r.waitUntil("the other client's call is established", func() bool { return r.counters().Established == 1 })
		good.Close()
		r.close()
	})
}

// A client that never reads its socket must be disconnected once its send queue is full or the write limit has passed; its
// calls are released, and calls of other clients go on.
func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), func(c *config.Config, _ *Options) { c.Association.Queue = 8192 })
		good := r.newClient(900)
		slow := r.dialRaw(901)
		for i := range 4000 { // the number does not exist, so each call is refused at once
			if _, err := slow.Write(r.iamFrame(uint16(i), "77")); err != nil {
				break
			}
		}
		good.Offer(testCall(time.Second))
		r.waitUntil("the other client's call is established", func() bool { return r.counters().Established == 1 })
		r.waitUntil("the client that never reads is disconnected", func() bool { return r.d.clients.Load() == 1 })
		good.Close()
		r.close()
	})
}

// A switch that accepts connections but never answers ASPUP must be given up after 3 s and dialled again, and calls to it must
// be refused.
func TestSwitchThatNeverAnswersASPUPIsRedialled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memoryTransport()
		r := newTestbed(t, network, nil)
		l, _ := network.listen("127.0.0.1:9")
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
			t.Errorf("%d connections in 20 s; want 4 to 8: each is given up after 3 s and dialled again", n)
		}
		c := r.newClient(900)
		k := testCall(time.Second)
		k.Called = "3001"
		c.Offer(k)
		r.waitUntil("the call is refused", func() bool { return c.Totals().Refused == 1 })
		c.Close()
		l.Close()
		r.close()
	})
}

// With clients in the settings, a client with another ASP identifier must be disconnected, and so must a connection beyond
// limits.clients.
func TestOnlyConfiguredClientsWithinTheLimitAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), func(c *config.Config, _ *Options) {
			c.Tenants = []config.Tenant{{Name: "x"}, {Name: "y"}}
			c.Clients = []config.Client{{Name: "branch", ASP: 900, Tenant: "y"}}
			c.Limits.Clients = 2
		})
		unlisted := r.dialRaw(901)
		if !r.closedByPeer(unlisted, 2*time.Second) {
			t.Error("a client that is not in the settings is accepted")
		}
		known := r.newClient(900)
		known.Offer(testCall(time.Second))
		r.waitUntil("the call is established", func() bool { return r.counters().Established == 1 })
		a := r.dialRaw(900)
		time.Sleep(10 * time.Millisecond)
		b := r.dialRaw(900)
		if !r.closedByPeer(b, time.Second) {
			t.Error("a third connection is accepted; limits.clients is 2")
		}
		a.Close()
		known.Close()
		r.close()
	})
}

// Guards the control port's replies and the metrics that operators' tools read, and the limit on the length of its lines.
func TestControlPortAndMetricsShowAnOpenCall(t *testing.T) {
	r := newTestbed(t, tcpTransport(), func(c *config.Config, _ *Options) { c.Control, c.Metrics = "127.0.0.1:0", "127.0.0.1:0" })
	c := r.newClient(900)
	c.Offer(testCall(time.Hour))
	r.waitUntil("the call is established", func() bool { return r.counters().Established == 1 })
	operator, err := textproto.Dial("tcp", r.d.ControlAddr())
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := operator.ReadResponse(220); err != nil {
		t.Fatal(err)
	}
	ask := func(line string, code int, want string) {
		t.Helper()
		operator.PrintfLine("%s", line)
		_, text, err := operator.ReadCodeLine(code)
		if err != nil {
			t.Errorf("%s: %v", line, err)
			return
		}
		if code == 211 {
			b, _ := operator.ReadDotLines()
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
	ask("show unknown", 501, "cannot be shown")
	ask("unknown", 500, "no command")
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
	operator.PrintfLine("%s", strings.Repeat("x", 5000))
	if _, _, err := operator.ReadResponse(0); err == nil {
		t.Error("a line of 5000 octets is accepted; the limit is 1000")
	}
	operator.Close()
	c.Close()
	r.close()
}

// A reload that changes the own point code or lacks an exchange must return an error.
func TestReloadOfFixedSettingsFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), nil)
		cfg := *r.d.cfg
		cfg.Exchange = 2
		if r.d.Reload(context.Background(), &cfg) == nil {
			t.Error("a reload with another own point code is accepted")
		}
		cfg = *r.d.cfg
		cfg.Exchanges = cfg.Exchanges[:1]
		if r.d.Reload(context.Background(), &cfg) == nil {
			t.Error("a reload that lacks an exchange is accepted")
		}
		r.close()
	})
}

// Refused, failed and cut calls are logged one by one. In a burst of them the rate of lines must be limited, and the next line
// must give the number of those left out.
func TestCallLogIsRateLimitedAndCountsSuppressedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), nil)
		c := r.newClient(900)
		k := testCall(time.Second)
		k.Called = "77"
		for range 300 {
			c.Offer(k)
		}
		r.waitUntil("all refused", func() bool { return c.Totals().Refused == 300 })
		time.Sleep(2 * time.Second)
		c.Offer(k)
		time.Sleep(time.Second)
		c.Close()
		r.close()
		if n := strings.Count(r.log.String(), `"outcome":"refused"`); n < 20 || n > 100 {
			t.Errorf("%d lines for 301 refused calls; want 20 to 100", n)
		}
		if !strings.Contains(r.log.String(), `"suppressed"`) {
			t.Error("no line gives the number of suppressed lines")
		}
	})
}
