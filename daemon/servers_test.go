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

// next reads the next ISUP message of a raw connection.
func next(t *testing.T, c net.Conn) isup.Message {
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

// One client with three associations: its call goes on over another when one breaks, waits while none is there, and ends when
// none comes within T(r).
func TestClientOfSeveralAssociations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, memory(), func(c *config.Config, _ *Options) {
			c.Clients = []config.Client{{Name: "branch", Associations: []uint32{900, 901, 902}, Mode: "loadshare"}}
			c.Association.Recovery, c.Association.RecoveryQueue = 2*time.Second, 1<<16
		})
		send := func(c net.Conn, m isup.Message) {
			c.Write(m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 900, DPC: 1, SI: 5, User: isup.Append(nil, &m)}}))
		}
		a, b := r.raw(900), r.raw(901)
		time.Sleep(100 * time.Millisecond)
		a.Write(r.frame(1, "2001"))
		if m := next(t, a); m.Type != isup.ACM {
			t.Fatalf("%v", m)
		}
		a.Close()
		time.Sleep(100 * time.Millisecond)
		if k := r.counters(); k.Established != 1 || k.Cut+k.Finished+k.Abandoned != 0 {
			t.Fatalf("%+v", k)
		}
		send(b, isup.Message{Type: isup.CQM, CIC: 1, Range: 1})
		if m := next(t, b); m.Type != isup.CQR {
			t.Fatalf("%v", m)
		}
		b.Close()
		time.Sleep(1500 * time.Millisecond)
		c := r.raw(902)
		time.Sleep(time.Second)
		if k := r.counters(); k.Cut+k.Finished+k.Abandoned != 0 || k.Pending != 1 {
			t.Fatalf("%+v", k)
		}
		send(c, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
		if m := next(t, c); m.Type != isup.RLC {
			t.Fatalf("%v", m)
		}
		c.Write(r.frame(2, "2002"))
		r.until("the second call stands", func() bool { return r.counters().Established == 2 })
		c.Close()
		time.Sleep(2500 * time.Millisecond)
		if k := r.counters(); k.Finished != 1 || k.Cut != 1 {
			t.Errorf("%+v", k)
		}
		r.close()
	})
}
