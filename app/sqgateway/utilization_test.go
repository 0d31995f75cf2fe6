package sqgateway

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqdirectory"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// TestUtilizationIsMeasured fails if the bytes of callers are not counted against the VM's
// link, or a gateway whose VM is not configured reports a utilization.
func TestUtilizationIsMeasured(t *testing.T) {
	u := newUtilization(sqdirectory.VM{MemoryBytes: 144 << 20, LinkMegabits: 8, ProcessorShare: 0.144})
	ln, err := sqhttp.ListenBuffered("127.0.0.1:0", socketBuffers())
	assert.NilError(t, err)
	guard := sqhttp.NewGuard(sqhttp.GuardConfig{Metrics: metrics.NewSet()})
	server := guard.NewServer(sqhttp.ServerConfig{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 500_000)) }),
		Name:    "callers", ConnectionPercent: callerConnections, SharePercent: callerSharePercent, Buffers: socketBuffers(), Traffic: u.traffic,
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	begin := time.Unix(1000, 0)
	u.record(begin)
	res, err := http.Get("http://" + ln.Addr().String())
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	waitFor(t, func() bool { return u.traffic.Written() > 500_000 })
	assert.NilError(t, res.Body.Close())
	u.record(begin.Add(time.Second))
	p := u.toProto()
	assert.Equal(t, p.GetWeight(), uint32(100))
	assert.Assert(t, p.GetLinkPercent() >= 50 && p.GetLinkPercent() < 60, "%v", p)
	assert.Assert(t, p.GetMemoryPercent() > 0)
	assert.Assert(t, newUtilization(sqdirectory.VM{MemoryBytes: 128 << 20}).toProto() == nil)
}

// TestAnswersFollowHolder fails if callers are directed to a gateway that the lease holder
// marks as overloaded, or not by the weights that it sends.
func TestAnswersFollowHolder(t *testing.T) {
	g := newGateway(Config{Wire: testWire{}, Log: sqlog.New(sqlog.Config{Output: &logBuffer{}})})
	g.applyResponse(time.Now(), time.Now(), &sqrpc.BeatResponse{DirectoryRevision: 7, Gateways: []*sqrpc.GatewayAddress{
		{Address: "small", Zone: "a", Weight: 100}, {Address: "large", Zone: "a", Weight: 300}, {Address: "full", Zone: "a", Weight: 300, Overloaded: true},
	}})
	list, _ := g.Addresses("a", "")
	slices.Sort(list)
	assert.DeepEqual(t, slices.Compact(slices.Clone(list)), []string{"large", "small"})
	assert.Equal(t, len(list), 8)
	assert.Equal(t, slices.Index(list, "small"), 6, "a quarter of the entries")
}
