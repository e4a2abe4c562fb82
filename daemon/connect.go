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

// peers knows the clients of the settings and which exchanges have a connector.
type peers struct {
	mu        sync.Mutex
	cfg       *config.Config
	connected map[uint32]bool
}

// admit names a client by its ASP identifier; with clients in the settings, others are turned away.
func (p *peers) admit(l *link, asp uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.peer.Name = fmt.Sprint(asp)
	i := slices.IndexFunc(p.cfg.Clients, func(c config.Client) bool { return c.HasASP(asp) })
	if i < 0 {
		return len(p.cfg.Clients) == 0
	}
	x := &p.cfg.Clients[i]
	l.peer.Name, l.peer.Tenant = x.Name, p.cfg.Tenant(x.Tenant)
	if len(x.Associations) > 0 {
		l.peer.Server, l.peer.Mode = x.Name, config.TrafficModes[x.Mode]
	}
	return true
}

// connectAll starts a connector for each exchange that has none.
func (d *Daemon) connectAll(ctx context.Context) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	d.peers.cfg = d.cfg
	if d.peers.connected == nil {
		d.peers.connected = map[uint32]bool{}
	}
	for _, x := range d.cfg.Exchanges {
		if d.peers.connected[x.PointCode] {
			continue
		}
		d.peers.connected[x.PointCode] = true
		d.own(func() { d.connect(ctx, x) })
	}
}

// connect keeps an association to a switch, trying its addresses in turn.
func (d *Daemon) connect(ctx context.Context, x config.Exchange) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = d.cfg.Association.BackoffMin, d.cfg.Association.BackoffMax
	for i := 0; ctx.Err() == nil; {
		addr := x.Switch[i%len(x.Switch)]
		dctx, cancel := context.WithTimeout(ctx, d.cfg.Association.DialLimit)
		conn, err := d.dial(dctx, addr)
		cancel()
		if err != nil {
			i++
			select {
			case d.events <- event{kind: evUnreachable, pc: x.PointCode}:
			case <-ctx.Done():
				return
			}
		} else {
			p := controller.Peer{Kind: controller.FarSwitch, PC: x.PointCode, Address: addr, Name: x.Name}
			if x.PointCode == d.cfg.Exchange {
				p.Kind = controller.OwnSwitch
			}
			since := time.Now()
			l := d.newLink(conn, p, m3ua.NewASP(d.cfg.M3UA(), d.cfg.Exchange, d.cfg.Exchange, d.now()))
			l.run(ctx)
			if time.Since(since) > d.cfg.Association.BackoffMax { // it was well for a while: begin with short waits again
				wait.Reset()
			}
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// accept takes clients.
func (d *Daemon) accept(ctx context.Context) {
	// A storm of connections is spread by those who are turned away and try again.
	handshakes := rate.NewLimiter(rate.Limit(d.cfg.Limits.HandshakeRate), max(1, int(d.cfg.Limits.HandshakeRate)))
	taskgroup.Accept(ctx, d.listener, func(err error) { d.log.Error().Err(err).Msg("accept") }, func(conn net.Conn) {
		if int(d.clients.Add(1)) > d.cfg.Limits.Clients || !handshakes.Allow() {
			d.clients.Add(-1)
			d.metrics.turnedAway.Inc()
			conn.Close()
			return
		}
		l := d.newLink(conn, controller.Peer{Kind: controller.Client, Name: conn.RemoteAddr().String()}, m3ua.NewSGP(d.cfg.M3UA(), d.now()))
		d.own(func() {
			defer d.clients.Add(-1)
			l.run(ctx)
		})
	})
}
