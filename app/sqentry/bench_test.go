package sqentry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstream"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
)

// discardWriter is a response writer that discards everything.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkRelayToken measures the entry's work for one streamed token: read,
// decode, match, encode, flush. The engine's share of the time is included.
func BenchmarkRelayToken(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		head, tail := `data: {"id":"r","object":"chat.completion.chunk","model":"m","position":`,
			`,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`+"\n\n"
		for i := 0; r.Context().Err() == nil; i++ {
			if _, err := w.Write([]byte(head + strconv.Itoa(i) + tail)); err != nil {
				return
			}
		}
	}))
	defer engine.Close()
	e := newEntry(b.Context(), benchConfig())
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), &discardWriter{header: http.Header{}})
	r := &request{e: e, c: c, req: c.Request(), id: "r", svc: newService(nil), caller: &caller{open: true}, deadline: sqclock.Now().Add(time.Minute), memory: e.active.responseMemory.NewReservation()}
	run := newResponseRelay(e, r, &chatRequest{Model: "m", Messages: []sqendpoint.Message{{Role: "user", Content: "x"}}, Stream: true})
	stream, err := e.endpointClient.Chat(b.Context(), sqendpoint.ChatConfig{
		Address: engine.Listener.Addr().String(), FirstTokenTimeout: time.Minute, InterTokenTimeout: time.Minute,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	attempt := sqstream.NewAttempt(run.response, "r")
	b.ReportAllocs()
	for b.Loop() {
		ev, err := stream.Next()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := run.handleEvent(attempt, ev, false); err != nil {
			b.Fatal(err)
		}
	}
}

func benchConfig() Config {
	cfg := Config{Name: "entry1", Zone: "a", Limits: Limits{MaxResponseBytes: 1 << 40}}
	cfg.setDefaults()
	return cfg
}

// BenchmarkAdmitAndRoute measures the work for a request before it is sent.
func BenchmarkAdmitAndRoute(b *testing.B) {
	for _, workers := range []int{20, 1100} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			e := newEntry(b.Context(), benchConfig())
			var views []*sqrpc.EndpointView
			for i := range workers {
				views = append(views, &sqrpc.EndpointView{
					Id: fmt.Sprint("engine", i), Zone: "a", Kind: "engine", State: stateLive, Models: []string{"m@1"},
				})
			}
			now := sqclock.Now()
			e.fleet.setEndpoints(now, views)
			e.admission.setTeams(now, []sqadmit.Team{sqadmit.NewTeam(sqadmit.TeamConfig{
				Name: "t", Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
			})})
			query := sqroute.QueryConfig{Model: "m", PromptTokens: 500, OutputTokens: 100, Blocks: []uint64{1, 2}}
			// In production the ticket is a field of the request and is not
			// allocated separately.
			ad := &admissionTicket{}
			b.ReportAllocs()
			for b.Loop() {
				choice := e.fleet.estimate(now, query)
				err := e.admission.admit(b.Context(), now, sqadmit.RequestConfig{Team: "t", Pool: "m", PromptTokens: 500, OutputTokens: 100, ExpectedDuration: choice.TotalLatency()}, ad)
				if err != nil {
					b.Fatal(err)
				}
				e.admission.finish(now, ad, 500, 100)
			}
		})
	}
}

// BenchmarkSmallRequest compares a small request through the entry with the
// same request sent directly to the endpoint.
func BenchmarkSmallRequest(b *testing.B) {
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprintf(w, `{"atUnixNano":%d}`, time.Now().UnixNano())
			return
		}
		fmt.Fprint(w, "ok")
	}))
	defer plain.Close()
	e := newEntry(b.Context(), benchConfig())
	e.routes.Store(newRoutes(1, testConfiguration()))
	e.fleet.setEndpoints(sqclock.Now(), []*sqrpc.EndpointView{{
		Id: "open0", Zone: "a", Kind: "open", State: stateLive, Address: plain.Listener.Addr().String(),
	}})
	e.admission.setTeams(sqclock.Now(), admissionTeams(e.watch.View()))
	front := httptest.NewServer(e.callersHandler())
	defer front.Close()
	for name, address := range map[string]string{"straight": plain.Listener.Addr().String(), "entry": front.Listener.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			for b.Loop() {
				resp, err := client.Post("http://"+address+openRoute, "text/plain", strings.NewReader("hello"))
				if err != nil {
					b.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
