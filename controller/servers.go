package controller

import (
	"maps"
	"slices"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// A client may be an application server with several associations (RFC 4666, 4.3.2). They share its circuits, its account at
// the door and its calls, which outlive the loss of any association, and of all of them for T(r). Which association takes a
// message is decided by m3ua.AS.

// serverUp takes an association of an application server, or one that is to have its traffic again.
func (c *Core) serverUp(a *assoc) {
	if old := c.assocs[a.id]; old != nil {
		a = old
	}
	s := c.servers[a.peer.Server]
	if s == nil {
		a.legs, a.door = map[uint64]*leg{}, c.door.AddClient(c.now)
		s = &server{name: a.peer.Server, first: a, as: m3ua.NewAS(a.peer.Mode, c.cfg.Recovery, c.cfg.RecoveryOctets)}
		c.servers[s.name] = s
	}
	a.server, a.legs, a.door, a.peer.Tenant = s, s.first.legs, s.first.door, s.first.peer.Tenant
	c.assocs[a.id] = a
	c.wheel.Stop(s.timer)
	kept, replaced := s.as.Up(uint32(a.id))
	for _, f := range kept {
		if !c.send(a.id, f) {
			c.port.Close(a.id, "its queue is full")
			break
		}
	}
	for _, id := range replaced {
		c.frame = m3ua.Append(c.frame[:0], &m3ua.Message{Kind: m3ua.NTFY, StatusType: m3ua.StatusOther, StatusInfo: m3ua.InfoAlternateASP})
		c.port.Send(AssocID(id), c.frame)
	}
}

// serverDown takes the loss of one of a server's associations. What was queued on it and never handed to its connection goes
// to another before anything later does, or waits for one.
func (c *Core) serverDown(a *assoc) {
	s := a.server
	if !s.as.Active(uint32(a.id)) {
		return
	}
	s.as.Down(c.now, uint32(a.id))
	if s.as.State() == m3ua.ASPending {
		c.Counters.Pending++
		c.wheel.Stop(s.timer)
		s.timer = c.wheel.Set(s.as.Until(), alarm{kind: recoveryTimer, as: s})
	}
	for b := c.port.Unsent(a.id); len(b) >= m3ua.HeaderLen; {
		n, err := m3ua.Length(b)
		if err != nil || n > len(b) {
			return
		}
		var m m3ua.Message
		if m3ua.Decode(b[:n], &m) == nil && m.Kind == m3ua.DATA {
			c.route(s, b[:n], m.Data.SLS, 0)
		}
		b = b[n:]
	}
}

// serverGone ends a server's calls: nobody has come within T(r), or more waits for it than may.
func (c *Core) serverGone(s *server) {
	c.wheel.Stop(s.timer)
	delete(c.servers, s.name)
	a := s.first
	for _, key := range slices.Sorted(maps.Keys(a.legs)) {
		l := a.legs[key]
		if l == nil {
			continue
		}
		delete(a.legs, key)
		c.wheel.Stop(l.timer)
		if k := l.call; k != nil {
			k.leg, l.call = nil, nil
			c.callerLeft(k, isup.CauseTemporary)
		}
	}
	c.door.RemoveClient(a.door)
}

// toServer sends a message to a client with several associations.
func (c *Core) toServer(l *leg, frame []byte) {
	if id := c.route(l.assoc.server, frame, byte(l.cic&15), uint32(l.assoc.id)); id != 0 {
		l.assoc = c.assocs[AssocID(id)]
	}
}

// route hands a frame to the associations that are to have it, or keeps it. It returns the one that has it, if it is one. An
// association that takes no more is lost: the frame goes to the next.
func (c *Core) route(s *server, frame []byte, sls byte, last uint32) (id uint32) {
	for {
		to, ok := s.as.Route(frame, sls, last, c.routed[:0])
		c.routed = to
		if !ok {
			// As much waits as may: its calls cannot be told apart by what they have lost, so all end. The timer does it,
			// since a call of it is being dealt with here.
			if s.as.State() == m3ua.ASPending {
				c.wheel.Stop(s.timer)
				s.as.GiveUp(c.now)
				s.timer = c.wheel.Set(c.now, alarm{kind: recoveryTimer, as: s})
			}
			return 0
		}
		var failed []*assoc
		for _, id := range to {
			if a := c.assocs[AssocID(id)]; !c.send(a.id, frame) {
				failed = append(failed, a)
			}
		}
		for _, a := range failed {
			c.port.Close(a.id, "its queue is full")
			c.serverDown(a)
		}
		switch {
		case len(failed) == 0 && len(to) == 1:
			return to[0]
		case len(failed) == 0 || len(failed) < len(to):
			return 0
		}
	}
}
