package controller

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

const (
	left  AssocID = 201
	right AssocID = 202
)

func serverRig(t *testing.T, mode uint32) *rig {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 2*sec, 4096 })
	r.join(left, mode)
	r.join(right, mode)
	return r
}

func (r *rig) join(a AssocID, mode uint32) {
	r.c.AssocUp(r.now, a, Peer{Kind: Client, Name: "branch", Server: "branch", Mode: mode, ASP: uint32(a)})
	r.flush()
}

func (r *rig) lose(a AssocID) {
	r.c.AssocDown(r.now, a)
	r.flush()
}

// Calls outlive the loss of one association, and go on over the other in both directions.
func TestCallMovesToTheOtherAssociation(t *testing.T) {
	r := serverRig(t, m3ua.TrafficLoadshare)
	r.from(left, 900, iam(1, "2001"))
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.ACM, CIC: cic})
	r.one(left, isup.ACM)
	r.lose(left)
	r.none(two)
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.one(right, isup.ANM)
	r.from(right, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.one(right, isup.RLC)
	r.one(two, isup.REL)
	if r.c.Open() != 0 || r.ends[len(r.ends)-1].Outcome != Finished {
		t.Errorf("%d open, %+v", r.c.Open(), r.ends)
	}
}

// All associations are lost: answers wait for T(r) and go to the first that is back, in their order; one answer per call.
func TestCallsWaitForTheirClient(t *testing.T) {
	r := serverRig(t, m3ua.TrafficLoadshare)
	r.from(left, 900, iam(1, "2001"))
	cic := r.one(two, isup.IAM).CIC
	r.from(right, 900, iam(2, "2002"))
	cic2 := r.one(two, isup.IAM).CIC
	r.lose(left)
	r.lose(right)
	r.from(two, 2, isup.Message{Type: isup.ACM, CIC: cic})
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.from(two, 2, isup.Message{Type: isup.REL, CIC: cic2, Cause: isup.CauseUserBusy})
	r.take(two)
	r.wait(1900 * ms)
	r.join(203, m3ua.TrafficLoadshare)
	if m := r.take(203); len(m) != 3 || m[0].Type != isup.ACM || m[1].Type != isup.ANM || m[2].Type != isup.REL || m[2].CIC != 2 {
		t.Fatalf("%v", types(m))
	}
	r.wait(5 * sec) // T(r) is over and must not end them
	if r.c.Open() != 1 {
		t.Errorf("%d open", r.c.Open())
	}
	r.none(two)
}

// Nobody comes within T(r): the calls are over, as with a client of one association.
func TestClientDoesNotComeBack(t *testing.T) {
	r := serverRig(t, m3ua.TrafficLoadshare)
	r.from(left, 900, iam(1, "2001"))
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.take(left)
	r.from(right, 900, iam(2, "2002"))
	r.from(two, 2, isup.Message{Type: isup.ACM, CIC: r.one(two, isup.IAM).CIC})
	r.one(right, isup.ACM)
	r.lose(left)
	r.lose(right)
	r.wait(1999 * ms)
	if r.c.Open() != 2 {
		t.Fatalf("%d open within T(r)", r.c.Open())
	}
	r.wait(2 * ms)
	if m := r.take(two); len(m) != 2 || m[0].Type != isup.REL || m[1].Type != isup.REL || r.c.Open() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%v, %d open", types(m), r.c.Open())
	}
	r.join(203, m3ua.TrafficLoadshare)
	r.none(203)
	r.from(203, 900, iam(1, "2001"))
	r.take(two)
	if r.c.Open() != 1 {
		t.Error("its next call is not taken")
	}
}

// More waits than may: the client's calls end at once, and nothing is sent in part.
func TestTooMuchWaits(t *testing.T) {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 10*sec, 100 })
	r.join(left, m3ua.TrafficOverride)
	var cics []uint16
	for i := range 5 {
		r.from(left, 900, iam(uint16(i+1), "2001"))
		cics = append(cics, r.one(two, isup.IAM).CIC)
	}
	r.lose(left)
	for _, cic := range cics {
		r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	}
	r.wait(10 * ms)
	if r.c.Open() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%d open, %d waiting", r.c.Open(), r.c.Waiting())
	}
	r.join(right, m3ua.TrafficOverride)
	r.none(right)
}

// What was queued on the lost association and never handed to its connection comes first on the other one; a full queue is a
// loss too, and its frame goes on.
func TestUnsentGoesOverTheOther(t *testing.T) {
	r := serverRig(t, m3ua.TrafficLoadshare)
	r.unsent = map[AssocID][]byte{}
	r.from(left, 900, iam(1, "2001"))
	cic := r.one(two, isup.IAM).CIC
	acm := isup.Message{Type: isup.ACM, CIC: 1}
	r.unsent[left] = m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 1, DPC: 900, SI: 5, SLS: 1, User: isup.Append(nil, &acm)}})
	r.unsent[left] = m3ua.Append(r.unsent[left], &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 1}}})
	r.full = map[AssocID]bool{left: true}
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic})
	if m := r.take(right); len(m) != 2 || m[0].Type != isup.ACM || m[1].Type != isup.CON {
		t.Fatalf("%v", types(m))
	}
	if r.closed[left] == "" {
		t.Error("the full one is not closed")
	}
	r.lose(left)
	r.none(right)
}

// Override: the later association has the traffic, the earlier one is told so, its messages are dropped, and it can have the
// traffic again by asking. Calls stand all the while.
func TestOverrideKeepsCalls(t *testing.T) {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 2*sec, 4096 })
	r.join(left, m3ua.TrafficOverride)
	r.from(left, 900, iam(1, "2001"))
	cic := r.one(two, isup.IAM).CIC
	r.join(right, m3ua.TrafficOverride)
	if m := r.mgmt[left]; len(m) != 1 || m[0].Kind != m3ua.NTFY || m[0].StatusType != m3ua.StatusOther || m[0].StatusInfo != m3ua.InfoAlternateASP {
		t.Errorf("the earlier one is told %+v", m)
	}
	r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.one(right, isup.CON)
	r.from(left, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.none(two)
	r.join(left, m3ua.TrafficOverride)
	r.from(left, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.one(left, isup.RLC)
	r.one(two, isup.REL)
}

// Broadcast: every association has each message, and a call is one call.
func TestBroadcastToAll(t *testing.T) {
	r := serverRig(t, m3ua.TrafficBroadcast)
	r.from(left, 900, iam(1, "2001"))
	r.from(right, 900, iam(1, "2001")) // the same IAM again is no second call
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.one(left, isup.CON)
	r.one(right, isup.CON)
	r.lose(right)
	r.wait(10 * time.Second)
	if r.c.Open() != 1 {
		t.Errorf("%d open", r.c.Open())
	}
}
