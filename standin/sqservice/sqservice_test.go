package sqservice

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/standin/sqrecord"
)

func TestLedger(t *testing.T) {
	tests := []struct {
		name         string
		deduplicates bool
		want         int
	}{
		{"a repeated call is executed twice", false, 2},
		{"a repeated identity is deduplicated", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			testLedger(t, tt.deduplicates, tt.want)
		})
	}
}

func testLedger(t *testing.T, deduplicates bool, want int) {
	t.Helper()
	record, err := sqrecord.New(sqrecord.Config{Path: t.TempDir() + "/ledger.jsonl"})
	assert.NilError(t, err)
	ledger := NewLedger(LedgerConfig{Record: record, DeduplicatesCalls: deduplicates})
	s, err := Start(Config{Name: "booking-1", Ledger: ledger, Record: record}, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(s.Crash)
	call := func() (*http.Response, error) {
		url := "http://" + s.Address() + "/booking/places"
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"place":1}`))
		assert.NilError(t, err)
		// The client resends a request with Idempotency-Key by itself if a reused
		// connection fails. Without GetBody it cannot.
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", "x")
		return http.DefaultTransport.RoundTrip(req)
	}
	_, err = http.Post("http://"+s.Address()+"/standin/fault", "application/json",
		bytes.NewReader([]byte(`{"kind":"reset","phase":"beforeFirstByte","count":1}`)))
	assert.NilError(t, err)
	_, err = call()
	assert.ErrorContains(t, err, "")
	res, err := call()
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode/100, 2)
	assert.Equal(t, len(NewLedger(LedgerConfig{Record: record}).list()), want)
}
