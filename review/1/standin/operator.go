package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// manifest is what the operator declares.
type manifest struct {
	Version  uint64            `json:"version"`
	Routes   []manifestRoute   `json:"routes"`
	Services []manifestService `json:"services"`
	Limits   manifestLimits    `json:"limits"`
	Tenants  []manifestTenant  `json:"tenants"`
}

type manifestRoute struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	GapTargetMs     int    `json:"gapTargetMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
}

type manifestService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type manifestLimits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type manifestTenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// Names of the manifest that the cases declare.
const (
	hostName    = "verde.example"
	tenantName  = "escuela"
	apiKey      = "2b9wu3fexd9dnn2ctnfz"
	passService = "pases-app"
	chatService = "asistente"
	// Path prefixes of the routes: lookup is idempotent, ask a stream that cannot be resumed
	// and summary one that can.
	lookupPath  = "/lookup/"
	askPath     = "/ask/"
	summaryPath = "/summary/"
)

// newManifest returns a manifest with the kinds of request, the times and the attempts of
// the installation compostaje-andino.
func newManifest() *manifest {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) manifestRoute {
		return manifestRoute{
			Name: name, Host: hostName, PathPrefix: prefix, Kind: kind, TimeoutMs: timeoutMs, TargetLatencyMs: targetMs, Priority: 1,
			Service: service, MaxAttempts: attempts,
		}
	}
	ask := route("ask", askPath, "streaming", chatService, 8000, 500, 1)
	ask.GapTargetMs = 200
	summary := route("summary", summaryPath, "streaming", chatService, 8000, 500, 2)
	summary.GapTargetMs, summary.Resumable = 200, true
	return &manifest{
		Version: 1,
		Routes: []manifestRoute{
			route("lookup", lookupPath, "idempotent", passService, 1500, 150, 2), ask, summary,
		},
		Services: []manifestService{
			{Name: passService, HealthPath: "/health", MaxConnections: 100, Protocol: "h1"},
			{Name: chatService, HealthPath: "/health", MaxConnections: 360, Protocol: "h1"},
		},
		Limits:  manifestLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []manifestTenant{{Name: tenantName, APIKeys: []string{apiKey}, Priority: 1}},
	}
}

// declare sends the manifest to the coordinators in turn until one acknowledges it.
func (l *lab) declare(m *manifest, timeout time.Duration) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(timeout), 0; time.Now().Before(end); i++ {
		url := fmt.Sprintf("http://%s/sequoiadock/config", l.address(firstCoordinator+i%coordinatorsInGroup, controlPort))
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				l.record("manifest %d is acknowledged", m.Version)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no coordinator acknowledged the manifest")
}
