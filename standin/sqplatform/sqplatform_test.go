package sqplatform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/standin/sqrecord"
)

type fakeHost struct{ stopped chan string }

func (h fakeHost) StartEngine(string, string, bool) (string, error) { return "127.0.0.1:1", nil }

func (h fakeHost) StopEngine(vm string) { h.stopped <- vm }

func startTest(t *testing.T) (*Platform, fakeHost) {
	t.Helper()
	record, err := sqrecord.New(sqrecord.Config{})
	assert.NilError(t, err)
	h := fakeHost{stopped: make(chan string, 10)}
	p, err := Start(Config{
		Host: h, Record: record, Zones: []string{"a"}, SpotStock: 1, HonoursFencing: true,
	}, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(p.server.Crash)
	return p, h
}

func post(t *testing.T, p *Platform, path string, in any) (int, string) {
	t.Helper()
	b, err := json.Marshal(in)
	assert.NilError(t, err)
	res, err := http.Post("http://"+p.Address()+path, "application/json", bytes.NewReader(b))
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(body)
}

func TestSpotStock(t *testing.T) {
	p, h := startTest(t)
	add := order{OrderID: "1", Action: actionAdd, Zone: "a", Spot: true, FencingTerm: 2}
	status, first := post(t, p, "/v1/endpointOrders", add)
	assert.Equal(t, status, http.StatusOK)
	_, repeated := post(t, p, "/v1/endpointOrders", add)
	assert.Equal(t, repeated, first)
	add.OrderID = "2"
	status, body := post(t, p, "/v1/endpointOrders", add)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, body, "{\"error\":\"outOfStock\"}\n")
	add.FencingTerm = 1
	_, body = post(t, p, "/v1/endpointOrders", add)
	assert.Equal(t, body, "{\"error\":\"fenced\"}\n")
	for limit := time.Now().Add(10 * time.Second); len(p.currentVMs()) == 0; {
		assert.Assert(t, time.Now().Before(limit))
		time.Sleep(time.Millisecond)
	}
	_, body = post(t, p, "/standin/reclaim", reclaimRequest{Zone: "a"})
	assert.Equal(t, body, "{\"vms\":[\"ordered-1\"]}\n")
	assert.Equal(t, <-h.stopped, "ordered-1")
}

func (p *Platform) currentVMs() []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentList(time.Now()).VMs
}
