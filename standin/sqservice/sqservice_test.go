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
		name       string
		recognises bool
		want       int
	}{
		{"a repeated call books twice", false, 2},
		{"a repeated identity is recognised", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			expectLedger(t, tt.recognises, tt.want)
		})
	}
}

func expectLedger(t *testing.T, recognises bool, want int) {
	t.Helper()
	record, err := sqrecord.New(sqrecord.Config{Path: t.TempDir() + "/ledger.jsonl"})
	assert.NilError(t, err)
	ledger := NewLedger(LedgerConfig{Record: record, DeduplicatesCalls: recognises})
	s, err := Start(Config{Name: "booking-1", Ledger: ledger, Record: record}, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(s.Crash)
	call := func() (*http.Response, error) {
		url := "http://" + s.Address() + "/booking/places"
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"place":1}`))
		assert.NilError(t, err)
		// Without GetBody the client cannot resend the call by itself, which
		// it does on an old connection when the header is there.
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
