package sqplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// TestPartialResponseClosesOrder fails if an order or a report counts as accepted by a response
// that broke off, so that it is not sent again and its VM is not known.
func TestPartialResponseClosesOrder(t *testing.T) {
	const whole = `{"state":"accepted","vm":"i-1"}`
	for cut := range len(whole) + 1 {
		for _, length := range []int{len(whole), cut} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(length))
				_, _ = io.WriteString(w, whole[:cut])
			}))
			a, err := SendEndpointOrder(context.Background(), srv.Client(), srv.Listener.Addr().String(), EndpointOrder{})
			srv.Close()
			switch {
			case cut == len(whole):
				assert.NilError(t, err)
				assert.Equal(t, a, OrderResponse{State: OrderStateAccepted, VM: "i-1", Status: http.StatusOK})
			case length == 0:
				assert.NilError(t, err, "an empty body")
			default:
				assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse, "%d of %d bytes: %+v", cut, length, a)
			}
		}
	}
}

// TestStatusSaysAll checks that a report is accepted by a response with any whole body, and that
// an error without JSON is none that the platform describes.
func TestStatusSaysAll(t *testing.T) {
	for body, status := range map[string]int{"": http.StatusOK, "ok\n": http.StatusOK, "{}\n": http.StatusOK, "no": http.StatusNotFound} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		a, err := ReportUsage(context.Background(), srv.Client(), srv.Listener.Addr().String(), UsageReport{})
		srv.Close()
		if status == http.StatusOK {
			assert.NilError(t, err)
			assert.Equal(t, a.Status, status)
			continue
		}
		assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse)
	}
}
