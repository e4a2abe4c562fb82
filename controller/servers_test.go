package controller

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

const (
	asp1 AssocID = 201
	asp2 AssocID = 202
)

func newServerRig(t *testing.T, mode uint32) *rig {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 2*sec, 4096 })
	r.joinServer(asp1, mode)
	r.joinServer(asp2, mode)
	return r
}

func (r *rig) joinServer(id AssocID, mode uint32) {
	r.c.AssocUp(r.now, id, Peer{Kind: Client, Name: "branch", Server: "branch", Mode: mode, ASP: uint32(id)})
	r.flush()
}

func (r *rig) assocDown(id AssocID) {
	r.c.AssocDown(r.now, id)
	r.flush()
}

// Calls outlive the loss of one association, and go on over the other in both directions.
func TestCallContinuesOverOtherAssociation(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficLoadshare)
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: cic})
	r.expectOne(asp1, isup.ACM)
	r.assocDown(asp1)
	r.expectNone(far2)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectOne(asp2, isup.ANM)
	r.receive(asp2, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectOne(asp2, isup.RLC)
	r.expectOne(far2, isup.REL)
	if r.c.Open() != 0 || r.records[len(r.records)-1].Outcome != Finished {
		t.Errorf("%d open, %+v", r.c.Open(), r.records)
	}
}

// All associations are lost: answers wait for T(r) and go to the first that is back, in their order; one answer per call.
func TestMessagesQueuedDuringRecoveryAreDelivered(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficLoadshare)
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(asp2, 900, iam(2, "2002"))
	cic2 := r.expectOne(far2, isup.IAM).CIC
	r.assocDown(asp1)
	r.assocDown(asp2)
	r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: cic})
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic2, Cause: isup.CauseUserBusy})
	r.take(far2)
	r.advance(1900 * ms)
	r.joinServer(203, m3ua.TrafficLoadshare)
	if m := r.take(203); len(m) != 3 || m[0].Type != isup.ACM || m[1].Type != isup.ANM || m[2].Type != isup.REL || m[2].CIC != 2 {
		t.Fatalf("%v", describe(m))
	}
	r.advance(5 * sec) // T(r) is over and must not end them
	if r.c.Open() != 1 {
		t.Errorf("%d open", r.c.Open())
	}
	r.expectNone(far2)
}

// Nobody comes within T(r): the calls are over, as with a client of one association.
func TestCallsEndWhenRecoveryTimerExpires(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficLoadshare)
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.take(asp1)
	r.receive(asp2, 900, iam(2, "2002"))
	r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: r.expectOne(far2, isup.IAM).CIC})
	r.expectOne(asp2, isup.ACM)
	r.assocDown(asp1)
	r.assocDown(asp2)
	r.advance(1999 * ms)
	if r.c.Open() != 2 {
		t.Fatalf("%d open within T(r)", r.c.Open())
	}
	r.advance(2 * ms)
	if m := r.take(far2); len(m) != 2 || m[0].Type != isup.REL || m[1].Type != isup.REL || r.c.Open() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%v, %d open", describe(m), r.c.Open())
	}
	r.joinServer(203, m3ua.TrafficLoadshare)
	r.expectNone(203)
	r.receive(203, 900, iam(1, "2001"))
	r.take(far2)
	if r.c.Open() != 1 {
		t.Error("its next call is not taken")
	}
}

// More waits than may: the client's calls end at once, and nothing is sent in part.
func TestRecoveryQueueOverflowEndsCalls(t *testing.T) {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 10*sec, 100 })
	r.joinServer(asp1, m3ua.TrafficOverride)
	var cics []uint16
	for i := range 5 {
		r.receive(asp1, 900, iam(uint16(i+1), "2001"))
		cics = append(cics, r.expectOne(far2, isup.IAM).CIC)
	}
	r.assocDown(asp1)
	for _, cic := range cics {
		r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	}
	r.advance(10 * ms)
	if r.c.Open() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%d open, %d waiting", r.c.Open(), r.c.Waiting())
	}
	r.joinServer(asp2, m3ua.TrafficOverride)
	r.expectNone(asp2)
}

// What was queued on the lost association and never handed to its connection comes first on the other one; a full queue is a
// loss too, and its frame goes on.
func TestUnsentFramesMoveToOtherAssociation(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficLoadshare)
	r.unsent = map[AssocID][]byte{}
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	acm := isup.Message{Type: isup.ACM, CIC: 1}
	r.unsent[asp1] = m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 1, DPC: 900, SI: 5, SLS: 1, User: isup.Append(nil, &acm)}})
	r.unsent[asp1] = m3ua.Append(r.unsent[asp1], &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 1}}})
	r.fullQueues = map[AssocID]bool{asp1: true}
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	if m := r.take(asp2); len(m) != 2 || m[0].Type != isup.ACM || m[1].Type != isup.CON {
		t.Fatalf("%v", describe(m))
	}
	if r.closed[asp1] == "" {
		t.Error("the full one is not closed")
	}
	r.assocDown(asp1)
	r.expectNone(asp2)
}

// Override: the later association has the traffic, the earlier one is told so, its messages are dropped, and it can have the
// traffic again by asking. Calls stand all the while.
func TestOverrideMovesTrafficAndKeepsCalls(t *testing.T) {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 2*sec, 4096 })
	r.joinServer(asp1, m3ua.TrafficOverride)
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	r.joinServer(asp2, m3ua.TrafficOverride)
	if m := r.management[asp1]; len(m) != 1 || m[0].Kind != m3ua.NTFY || m[0].StatusType != m3ua.StatusOther || m[0].StatusInfo != m3ua.InfoAlternateASP {
		t.Errorf("the earlier one is told %+v", m)
	}
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(asp2, isup.CON)
	r.receive(asp1, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectNone(far2)
	r.joinServer(asp1, m3ua.TrafficOverride)
	r.receive(asp1, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectOne(asp1, isup.RLC)
	r.expectOne(far2, isup.REL)
}

// Broadcast: every association has each message, and a call is one call.
func TestBroadcastSendsToAllAssociations(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficBroadcast)
	r.receive(asp1, 900, iam(1, "2001"))
	r.receive(asp2, 900, iam(1, "2001")) // the same IAM again is no second call
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(asp1, isup.CON)
	r.expectOne(asp2, isup.CON)
	r.assocDown(asp2)
	r.advance(10 * time.Second)
	if r.c.Open() != 1 {
		t.Errorf("%d open", r.c.Open())
	}
}
