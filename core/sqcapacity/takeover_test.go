package sqcapacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNewHolderAwaitsSpeeds fails if a lease holder that has not heard of any speed yet orders
// the constant reserve, and releases spot endpoints for it; or if it never orders the reserve
// where no endpoint reports its speed.
func TestNewHolderAwaitsSpeeds(t *testing.T) {
	p := New()
	svc := spotService([3]int{7, 7, 7}, [3]int{1, 1, 1})
	svc.ReplacesReclaimed = false
	sendOrders(p, timeAt(0), svc)
	svc.Demand.Requests = 10
	assert.Equal(t, len(sendOrders(p, timeAt(2), svc)), 0)
	svc.ReplacesReclaimed = true
	assert.Equal(t, len(sendOrders(p, timeAt(3), svc)), 0)
	svc.ReplacesReclaimed = false
	assert.Equal(t, len(sendOrders(p, timeAt(200), svc)), 0)

	p = New()
	svc.Demand.Requests = 0
	sendOrders(p, timeAt(0), svc)
	svc.Demand.Requests = 10
	sendOrders(p, timeAt(2), svc)
	assert.Assert(t, len(sendOrders(p, timeAt(2+speedReportTime.Seconds()), svc)) > 0)
}
