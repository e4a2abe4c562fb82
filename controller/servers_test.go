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

// newServerRig makes a rig with a client that has two associations.
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

// A call must survive the loss of one of its client's associations and continue over the other one in both directions.
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
	if r.c.OpenCalls() != 0 || r.records[len(r.records)-1].Outcome != Finished {
		t.Errorf("%d open, records %+v; want 0 and a finished call", r.c.OpenCalls(), r.records)
	}
}

// All associations of a client are lost: messages for it must be queued during T(r) and sent in order on the first association
// that comes up, one answer per call.
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
		t.Fatalf("new association received %v, want ACM, ANM and a REL on circuit 2", describe(m))
	}
	r.advance(5 * sec) // T(r) must not end the calls any more
	if r.c.OpenCalls() != 1 {
		t.Errorf("%d calls open, want 1", r.c.OpenCalls())
	}
	r.expectNone(far2)
}

// No association comes up within T(r): the client's calls must end then, and not before.
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
	if r.c.OpenCalls() != 2 {
		t.Fatalf("%d calls open within T(r), want 2", r.c.OpenCalls())
	}
	r.advance(2 * ms)
	if m := r.take(far2); len(m) != 2 || m[0].Type != isup.REL || m[1].Type != isup.REL || r.c.OpenCalls() != 0 || r.c.Waiting() != 0 {
		t.Errorf("sent %v, %d calls open; want two RELs and 0", describe(m), r.c.OpenCalls())
	}
	r.joinServer(203, m3ua.TrafficLoadshare)
	r.expectNone(203)
	r.receive(203, 900, iam(1, "2001"))
	r.take(far2)
	if r.c.OpenCalls() != 1 {
		t.Error("the next call of the client is not accepted")
	}
}

// More messages than RecoveryOctets are queued during T(r): the client's calls must end at once, and none of the queued
// messages may be sent later.
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
	if r.c.OpenCalls() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%d open, %d waiting; want 0 of each", r.c.OpenCalls(), r.c.Waiting())
	}
	r.joinServer(asp2, m3ua.TrafficOverride)
	r.expectNone(asp2)
}

// Frames that were queued on a lost association but not passed to its connection must be sent first on the other one. A full
// send queue counts as a loss, and the frame that it refused must be sent too.
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
		t.Fatalf("other association received %v, want ACM and CON", describe(m))
	}
	if r.closed[asp1] == "" {
		t.Error("the association with the full queue is not closed")
	}
	r.assocDown(asp1)
	r.expectNone(asp2)
}

// Override mode: the later association takes over the traffic, the earlier one receives NTFY and its messages are dropped until
// it becomes active again. The calls must survive both changes.
func TestOverrideMovesTrafficAndKeepsCalls(t *testing.T) {
	r := newRig(t, 20, func(c *Config) { c.Recovery, c.RecoveryOctets = 2*sec, 4096 })
	r.joinServer(asp1, m3ua.TrafficOverride)
	r.receive(asp1, 900, iam(1, "2001"))
	cic := r.expectOne(far2, isup.IAM).CIC
	r.joinServer(asp2, m3ua.TrafficOverride)
	if m := r.management[asp1]; len(m) != 1 || m[0].Kind != m3ua.NTFY || m[0].StatusType != m3ua.StatusOther || m[0].StatusInfo != m3ua.InfoAlternateASP {
		t.Errorf("earlier association received %+v, want NTFY that another ASP is active", m)
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

// Broadcast mode: every association must receive each message, and an IAM that arrives on both must make only one call.
func TestBroadcastSendsToAllAssociations(t *testing.T) {
	r := newServerRig(t, m3ua.TrafficBroadcast)
	r.receive(asp1, 900, iam(1, "2001"))
	r.receive(asp2, 900, iam(1, "2001")) // the same IAM: no second call
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(asp1, isup.CON)
	r.expectOne(asp2, isup.CON)
	r.assocDown(asp2)
	r.advance(10 * time.Second)
	if r.c.OpenCalls() != 1 {
		t.Errorf("%d calls open, want 1", r.c.OpenCalls())
	}
}
