package controller

import (
	"maps"
	"slices"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// A client may be an application server with several associations (RFC 4666, 4.3.2). They share its circuits, its limits
// and its calls. The calls survive the loss of any association, and the loss of all associations for T(r). m3ua.AS decides
// which association a message is sent on.

// serverAssocUp adds an association of an application server, or makes a known one active again.
func (c *Core) serverAssocUp(assoc *association) {
	if known := c.assocs[assoc.id]; known != nil {
		assoc = known
	}
	server := c.servers[assoc.peer.Server]
	if server == nil {
		assoc.circuits, assoc.limits = map[uint64]*clientCircuit{}, c.limits.AddClient(c.now)
		server = &appServer{name: assoc.peer.Server, firstAssoc: assoc, as: m3ua.NewAS(assoc.peer.Mode, c.cfg.Recovery, c.cfg.RecoveryOctets)}
		c.servers[server.name] = server
	}
	assoc.appServer, assoc.circuits, assoc.limits, assoc.peer.Tenant = server, server.firstAssoc.circuits, server.firstAssoc.limits, server.firstAssoc.peer.Tenant
	c.assocs[assoc.id] = assoc
	c.wheel.Stop(server.timer)
	queued, replaced := server.as.Activate(uint32(assoc.id))
	for _, frame := range queued {
		if !c.send(assoc.id, frame) {
			c.port.Close(assoc.id, "send queue full")
			break
		}
	}
	for _, id := range replaced {
		c.frameBuffer = m3ua.Append(c.frameBuffer[:0], &m3ua.Message{Kind: m3ua.NTFY, StatusType: m3ua.StatusOther, StatusInfo: m3ua.InfoAlternateASP})
		c.port.Send(AssocID(id), c.frameBuffer)
	}
}

// serverAssocDown handles the loss of one of a server's associations. Frames that were queued on it but never passed to its
// connection are sent on another association before any later frame, or queued until there is one.
func (c *Core) serverAssocDown(assoc *association) {
	server := assoc.appServer
	if !server.as.Active(uint32(assoc.id)) {
		return
	}
	server.as.Deactivate(c.now, uint32(assoc.id))
	if server.as.State() == m3ua.ASPending {
		c.Counters.Pending++
		c.wheel.Stop(server.timer)
		server.timer = c.wheel.Set(server.as.RecoveryEnd(), timerEvent{kind: timerRecovery, appServer: server})
	}
	for unsent := c.port.Unsent(assoc.id); len(unsent) >= m3ua.HeaderLen; {
		length, err := m3ua.Length(unsent)
		if err != nil || length > len(unsent) {
			return
		}
		var message m3ua.Message
		if m3ua.Decode(unsent[:length], &message) == nil && message.Kind == m3ua.DATA {
			c.routeToServer(server, unsent[:length], message.Data.SLS, 0)
		}
		unsent = unsent[length:]
	}
}

// closeServer ends a server's calls after T(r) has expired without a new association, or its queue has overflowed.
func (c *Core) closeServer(server *appServer) {
	c.wheel.Stop(server.timer)
	delete(c.servers, server.name)
	assoc := server.firstAssoc
	for _, key := range slices.Sorted(maps.Keys(assoc.circuits)) {
		circuit := assoc.circuits[key]
		if circuit == nil {
			continue
		}
		delete(assoc.circuits, key)
		c.wheel.Stop(circuit.timer)
		if call := circuit.openCall; call != nil {
			call.clientCircuit, circuit.openCall = nil, nil
			c.callerReleased(call, isup.CauseTemporary)
		}
	}
	c.limits.RemoveClient(assoc.limits)
}

// sendToServer sends a message to a client with several associations.
func (c *Core) sendToServer(circuit *clientCircuit, frame []byte) {
	if id := c.routeToServer(circuit.association.appServer, frame, byte(circuit.cic&15), uint32(circuit.association.id)); id != 0 {
		circuit.association = c.assocs[AssocID(id)]
	}
}

// routeToServer sends a frame on the associations that m3ua.AS selects, or queues it while there is none. It returns the
// association if there is exactly one, else 0. An association whose send queue is full counts as lost: the frame is routed
// again.
func (c *Core) routeToServer(server *appServer, frame []byte, sls byte, last uint32) (id uint32) {
	for {
		targets, ok := server.as.Route(frame, sls, last, c.routeBuffer[:0])
		c.routeBuffer = targets
		if !ok {
			// The frame is lost; in state pending this means that the queue is full. All calls of the server end then, since
			// it is not recorded which of them lost a message. The recovery timer ends them, because one of them is being
			// handled here.
			if server.as.State() == m3ua.ASPending {
				c.wheel.Stop(server.timer)
				server.as.EndRecovery(c.now)
				server.timer = c.wheel.Set(c.now, timerEvent{kind: timerRecovery, appServer: server})
			}
			return 0
		}
		var failed []*association
		for _, id := range targets {
			if assoc := c.assocs[AssocID(id)]; !c.send(assoc.id, frame) {
				failed = append(failed, assoc)
			}
		}
		for _, assoc := range failed {
			c.port.Close(assoc.id, "send queue full")
			c.serverAssocDown(assoc)
		}
		switch {
		case len(failed) == 0 && len(targets) == 1:
			return targets[0]
		case len(failed) == 0 || len(failed) < len(targets):
			return 0
		}
	}
}
