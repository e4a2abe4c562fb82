package daemon

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/internal/taskgroup"
	"github.com/umbergauge/umbergauge/m3ua"
)

// peers holds the clients of the settings and the exchanges that have a connector (the goroutine that runs connect).
type peers struct {
	mu           sync.Mutex
	cfg          *config.Config
	hasConnector map[uint32]bool
}

// identify sets the name, tenant and traffic mode of a client from its ASP identifier; false: the settings list clients, and
// this one is not among them.
func (p *peers) identify(a *association, asp uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.peer.Name = fmt.Sprint(asp)
	i := slices.IndexFunc(p.cfg.Clients, func(c config.Client) bool { return c.HasASP(asp) })
	if i < 0 {
		return len(p.cfg.Clients) == 0
	}
	client := &p.cfg.Clients[i]
	a.peer.Name, a.peer.Tenant = client.Name, p.cfg.Tenant(client.Tenant)
	if len(client.Associations) > 0 {
		a.peer.Server, a.peer.Mode = client.Name, config.TrafficModes[client.Mode]
	}
	return true
}

// connectAll starts a connector for each exchange that has none.
func (d *Daemon) connectAll(ctx context.Context) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.peers.cfg = d.cfg
	if d.peers.hasConnector == nil {
		d.peers.hasConnector = map[uint32]bool{}
	}
	for _, x := range d.cfg.Exchanges {
		if d.peers.hasConnector[x.PointCode] {
			continue
		}
		d.peers.hasConnector[x.PointCode] = true
		d.spawn(func() { d.connect(ctx, x) })
	}
}

// connect keeps an association to a switch up, trying its addresses in turn.
func (d *Daemon) connect(ctx context.Context, x config.Exchange) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = d.cfg.Association.BackoffMin, d.cfg.Association.BackoffMax
	for addrIndex := 0; ctx.Err() == nil; {
		addr := x.Switch[addrIndex%len(x.Switch)]
		dialCtx, cancel := context.WithTimeout(ctx, d.cfg.Association.DialLimit)
		conn, err := d.dial(dialCtx, addr)
		cancel()
		if err != nil {
			addrIndex++
			select {
			case d.events <- event{kind: evUnreachable, pc: x.PointCode}:
			case <-ctx.Done():
				return
			}
		} else {
			peer := controller.Peer{Kind: controller.FarSwitch, PC: x.PointCode, Address: addr, Name: x.Name}
			if x.PointCode == d.cfg.Exchange {
				peer.Kind = controller.OwnSwitch
			}
			connectedAt := time.Now()
			a := d.newAssociation(conn, peer, m3ua.NewASP(d.cfg.M3UA(), d.cfg.Exchange, d.cfg.Exchange, d.now()))
			a.run(ctx)
			if time.Since(connectedAt) > d.cfg.Association.BackoffMax { // it was up for some time: restart the back-off at its minimum
				retry.Reset()
			}
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// accept accepts connections of clients up to the limits of the settings.
func (d *Daemon) accept(ctx context.Context) {
	// handshakes limits the rate of new connections. In a burst of them the clients turned away try again later, which spreads
	// the load.
	handshakes := rate.NewLimiter(rate.Limit(d.cfg.Limits.HandshakeRate), max(1, int(d.cfg.Limits.HandshakeRate)))
	taskgroup.Accept(ctx, d.clientListener, func(err error) { d.log.Error().Err(err).Msg("accepting a client connection failed") }, func(conn net.Conn) {
		if int(d.clients.Add(1)) > d.cfg.Limits.Clients || !handshakes.Allow() {
			d.clients.Add(-1)
			d.metrics.turnedAway.Inc()
			conn.Close()
			return
		}
		a := d.newAssociation(conn, controller.Peer{Kind: controller.Client, Name: conn.RemoteAddr().String()}, m3ua.NewSGP(d.cfg.M3UA(), d.now()))
		d.spawn(func() {
			defer d.clients.Add(-1)
			a.run(ctx)
		})
	})
}
