package sqcluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"sequoiadock/core/sqerror"
)

// Directions of a link, as the proxy names them.
const (
	upstream   = "upstream"
	downstream = "downstream"
)

// Proxy is a link to one process that a test can disturb.
type Proxy struct {
	proxy *toxiproxy.Proxy
}

// NewProxy opens a link to the target "ip:port".
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

// Partition lets nothing through in either direction, without ending a connection:
// the silent partition. Heal ends it and closes the connections that it held.
func (p *Proxy) Partition() error {
	if err := p.add("cutUp", "timeout", upstream, `{"timeout":0}`); err != nil {
		return err
	}
	return p.add("cutDown", "timeout", downstream, `{"timeout":0}`)
}

// DropResponses lets requests through and loses the answers.
func (p *Proxy) DropResponses() error {
	return p.add("cutDown", "timeout", downstream, `{"timeout":0}`)
}

// AddLatency delays each direction.
func (p *Proxy) AddLatency(latency, jitter time.Duration) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latency.Milliseconds(), jitter.Milliseconds())
	if err := p.add("slowUp", "latency", upstream, attributes); err != nil {
		return err
	}
	return p.add("slowDown", "latency", downstream, attributes)
}

// ResetAfter resets each connection after n bytes of answers.
func (p *Proxy) ResetAfter(n int) error {
	return p.add("limit", "limit_data", downstream, fmt.Sprintf(`{"bytes":%d}`, n))
}

// CloseConnections ends every connection once; new ones pass.
func (p *Proxy) CloseConnections() error {
	p.proxy.Stop()
	if err := p.proxy.Start(); err != nil {
		return failed("open "+p.proxy.Name+" again", err)
	}
	return nil
}

// Heal ends every disturbance.
func (p *Proxy) Heal() error {
	for _, name := range []string{"cutUp", "cutDown", "slowUp", "slowDown", "limit"} {
		if p.proxy.Toxics.GetToxic(name) == nil {
			continue
		}
		if err := p.proxy.Toxics.RemoveToxic(background(), name); err != nil {
			return failed("heal "+p.proxy.Name, err)
		}
	}
	return nil
}

// Close ends the link.
func (p *Proxy) Close() { p.proxy.Stop() }

func (p *Proxy) add(name, kind, stream, attributes string) error {
	if p.proxy.Toxics.GetToxic(name) != nil {
		return nil
	}
	j := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(j)); err != nil {
		return failed("disturb "+p.proxy.Name, err)
	}
	return nil
}
