package sqsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqerror"
)

func TestControl(t *testing.T) {
	s, faults := ReadControl(filepath.Join("testdata", "controlGood.toml"))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, s.Node().Name(), "control1")
	assert.Equal(t, s.Timing().LeaseDuration(), 700*time.Millisecond)
	assert.Equal(t, s.Timing().HeartbeatInterval(), defaultHeartbeatInterval)
	assert.Equal(t, s.RolePolicy(), "planned")
	assert.Equal(t, s.EndpointOrderPolicy(), "greedyCheap")
	assert.Equal(t, len(s.ControlAddresses()), 3)
}

func TestEntry(t *testing.T) {
	s, faults := ReadEntry(filepath.Join("testdata", "entryGood.toml"))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, s.Limits().MaxRequests(), 100)
	assert.Equal(t, s.Limits().PollBytesPerSecond(), 2000)
	assert.Equal(t, s.Limits().MaxBodyBytes(), int64(defaultMaxBodyBytes))
	assert.Equal(t, s.RoutingPolicy(), "leastLoaded")
	assert.Equal(t, s.AdmissionPolicy(), "fifo")
}

func TestCoordinator(t *testing.T) {
	s, faults := ReadCoordinator(filepath.Join("testdata", "coordinatorGood.toml"))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.DeepEqual(t, s.Cluster().Seeds(), []string{"10.1.0.10:7660", "10.2.0.45:7660"})
	assert.Equal(t, s.Cluster().Voters(), 5)
	assert.Equal(t, s.Node().InternalAddress(), "10.1.0.10:7660")
	assert.Equal(t, s.OperatorAddress(), "10.1.0.10:8407")
	assert.Assert(t, s.FirstStart())
	assert.Equal(t, s.Bounds().BillingWindow(), 5*time.Second)
	assert.Equal(t, s.Bounds().TakeoverDelay(), 3*time.Second)
}

func TestGateway(t *testing.T) {
	s, faults := ReadGateway(filepath.Join("testdata", "gatewayGood.toml"))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, s.CallerAddress(), "10.1.0.7:8405")
	assert.Equal(t, s.ReadinessAddress(), "10.1.0.7:8406")
	assert.Equal(t, s.DirectoryAddress(), "10.1.0.7:8404")
	assert.Equal(t, s.Bounds().RetryRatio(), 0.2)
	assert.Equal(t, s.Bounds().ExtraRetries(), 56.0)
	assert.Equal(t, s.Bounds().StopGracePeriod(), 7500*time.Millisecond)
	assert.Equal(t, s.Bounds().RevocationTimeout(), defaultRevocationTimeout)
}

// TestReportsEveryFault checks that one call reports every fault of a file, each with
// its position and advice.
func TestReportsEveryFault(t *testing.T) {
	for _, name := range []string{"controlBad", "entryBad", "coordinatorBad", "gatewayBad", "syntaxBad", "missing"} {
		t.Run(name, func(t *testing.T) {
			path := filepath.ToSlash(filepath.Join("testdata", name+".toml"))
			var faults []*sqerror.Error
			switch {
			case strings.HasPrefix(name, "control"):
				_, faults = ReadControl(path)
			case strings.HasPrefix(name, "coordinator"):
				_, faults = ReadCoordinator(path)
			case strings.HasPrefix(name, "gateway"):
				_, faults = ReadGateway(path)
			default:
				_, faults = ReadEntry(path)
			}
			var b strings.Builder
			for _, f := range faults {
				assert.Equal(t, f.Kind(), sqerror.BadSetting)
				b.WriteString(f.Error() + "\n")
			}
			golden.Assert(t, b.String(), name+".golden")
		})
	}
}

// FuzzParse checks that each input is either rejected with a position and advice, or
// accepted with settings whose lease is shorter than the election timeout.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"controlGood", "controlBad", "entryGood", "entryBad", "syntaxBad"} {
		data, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, faults := ParseControl("control.toml", data)
		assert.Equal(t, c == nil, len(faults) > 0)
		if c != nil {
			assert.Assert(t, c.Timing().LeaseDuration() < c.Timing().ElectionTimeout())
			assert.Assert(t, len(c.ControlAddresses()) > 0)
		}
		e, faults := ParseEntry("entry.toml", data)
		assert.Equal(t, e == nil, len(faults) > 0)
		for _, fault := range faults {
			assert.Assert(t, fault.Advice() != "" && fault.Position().File == "entry.toml", "%v", fault)
		}
	})
}
