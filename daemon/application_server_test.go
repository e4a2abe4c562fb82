package daemon

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// nextISUP returns the next ISUP message from a raw connection.
func nextISUP(t *testing.T, c net.Conn) isup.Message {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	sc := m3ua.NewScanner(c)
	for {
		f, err := sc.Next()
		if err != nil {
			t.Fatal(err)
		}
		var m m3ua.Message
		var u isup.Message
		if m3ua.Decode(f, &m) == nil && m.Kind == m3ua.DATA && isup.Decode(m.Data.User, &u) == nil {
			return isup.Message{Type: u.Type, CIC: u.CIC, Cause: u.Cause}
		}
	}
}

// A client with three associations: when one is lost, its call must go on over another. With none left, the call must be kept
// while T(r) runs, go on over one that connects in time, and be cut when T(r) expires.
func TestCallOfAClientSurvivesLostAssociationsUntilTheRecoveryTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestbed(t, memoryTransport(), func(c *config.Config, _ *Options) {
			c.Clients = []config.Client{{Name: "branch", Associations: []uint32{900, 901, 902}, Mode: "loadshare"}}
			c.Association.Recovery, c.Association.RecoveryQueue = 2*time.Second, 1<<16
		})
		send := func(c net.Conn, m isup.Message) {
			c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 900, DPC: 1, SI: 5, User: isup.Append(nil, &m)}}))
		}
		a, b := r.dialRaw(900), r.dialRaw(901)
		time.Sleep(100 * time.Millisecond)
		a.Write(r.iamFrame(1, "2001"))
		if m := nextISUP(t, a); m.Type != isup.ACM {
			t.Fatalf("first association received %v, want ACM", m)
		}
		a.Close()
		time.Sleep(100 * time.Millisecond)
		if k := r.counters(); k.Established != 1 || k.Cut+k.Finished+k.Abandoned != 0 {
			t.Fatalf("after the loss of the first association: counters %+v, want 1 established and none ended", k)
		}
		send(b, isup.Message{Type: isup.CQM, CIC: 1, Range: 1})
		if m := nextISUP(t, b); m.Type != isup.CQR {
			t.Fatalf("second association received %v, want CQR", m)
		}
		b.Close()
		time.Sleep(1500 * time.Millisecond)
		c := r.dialRaw(902)
		time.Sleep(time.Second)
		if k := r.counters(); k.Cut+k.Finished+k.Abandoned != 0 || k.Pending != 1 {
			t.Fatalf("after the third association came up: counters %+v, want none ended and 1 pending", k)
		}
		send(c, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
		if m := nextISUP(t, c); m.Type != isup.RLC {
			t.Fatalf("third association received %v, want RLC", m)
		}
		c.Write(r.iamFrame(2, "2002"))
		r.waitUntil("the second call is established", func() bool { return r.counters().Established == 2 })
		c.Close()
		time.Sleep(2500 * time.Millisecond)
		if k := r.counters(); k.Finished != 1 || k.Cut != 1 {
			t.Errorf("after T(r): counters %+v, want 1 finished and 1 cut", k)
		}
		r.close()
	})
}
