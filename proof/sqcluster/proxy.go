package sqcluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"sequoiadock/core/sqerror"
)

// Directions of a proxied connection, as toxiproxy names them.
const (
	upstream   = "upstream"
	downstream = "downstream"
)

// Proxy is a TCP proxy in front of one process that injects network faults.
type Proxy struct {
	proxy *toxiproxy.Proxy
}

// NewProxy starts a proxy in front of the target "ip:port".
func NewProxy(name, target string) (*Proxy, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := &Proxy{proxy: toxiproxy.NewProxy(server, name, "127.0.0.1:0", target)}
	if err := p.proxy.Start(); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "proxy " + name, Cause: err})
	}
	return p, nil
}

// Address returns the "ip:port" to connect to.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Partition drops all data in both directions and keeps connections open, so that
// neither side sees an error. Heal ends the partition and closes the connections
// that were open during it.
func (p *Proxy) Partition() error {
	if err := p.addToxic("cutUp", "timeout", upstream, `{"timeout":0}`); err != nil {
		return err
	}
	return p.addToxic("cutDown", "timeout", downstream, `{"timeout":0}`)
}

// DropResponses passes requests on and drops the responses.
func (p *Proxy) DropResponses() error {
	return p.addToxic("cutDown", "timeout", downstream, `{"timeout":0}`)
}

// AddLatency delays the data in each direction.
func (p *Proxy) AddLatency(latency, jitter time.Duration) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latency.Milliseconds(), jitter.Milliseconds())
	if err := p.addToxic("slowUp", "latency", upstream, attributes); err != nil {
		return err
	}
	return p.addToxic("slowDown", "latency", downstream, attributes)
}

// ResetAfter ends each connection after n bytes of responses.
func (p *Proxy) ResetAfter(n int) error {
	return p.addToxic("limit", "limit_data", downstream, fmt.Sprintf(`{"bytes":%d}`, n))
}

// CloseConnections closes the open connections and accepts new ones.
func (p *Proxy) CloseConnections() error {
	p.proxy.Stop()
	if err := p.proxy.Start(); err != nil {
		return operationError("open "+p.proxy.Name+" again", err)
	}
	return nil
}

// Heal removes every injected fault.
func (p *Proxy) Heal() error {
	for _, name := range []string{"cutUp", "cutDown", "slowUp", "slowDown", "limit"} {
		if p.proxy.Toxics.GetToxic(name) == nil {
			continue
		}
		if err := p.proxy.Toxics.RemoveToxic(background(), name); err != nil {
			return operationError("heal "+p.proxy.Name, err)
		}
	}
	return nil
}

// Close stops the proxy.
func (p *Proxy) Close() { p.proxy.Stop() }

func (p *Proxy) addToxic(name, kind, stream, attributes string) error {
	if p.proxy.Toxics.GetToxic(name) != nil {
		return nil
	}
	j := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(j)); err != nil {
		return operationError("add a fault to "+p.proxy.Name, err)
	}
	return nil
}
