package sqsettings

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sequoiadock/core/sqtoml"
)

// checker checks the values of one settings file and collects its faults.
type checker struct {
	*sqtoml.Checker
}

func (c *checker) required(path, value, example string) string {
	if value == "" {
		c.AddMissing(path, example)
	}
	return value
}

// name checks a name that other settings or processes refer to.
func (c *checker) name(path, value string) string {
	c.CheckName(path, value)
	return value
}

// listenAddress checks an "ip:port" to listen on; port 0 is allowed.
func (c *checker) listenAddress(path, value string) string {
	if c.required(path, value, `"127.0.0.1:0"`) == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.AddError(path, strconv.Quote(value)+" is not an IP address and port", `write an IP number and a port, such as "10.0.0.1:7000"`)
	}
	return value
}

// address checks an "ip:port" that other processes connect to; it needs a
// specific IP address and port.
func (c *checker) address(path, value string) string {
	if c.required(path, value, `"10.0.0.1:7000"`) == "" {
		return ""
	}
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.AddError(path, strconv.Quote(value)+" is not an address to connect to", `write an IP number and a port, such as "10.0.0.1:7000"`)
	}
	return value
}

func (c *checker) optionalAddress(path, value string) string {
	if value == "" && !c.Has(path) {
		return ""
	}
	return c.address(path, value)
}

func isEphemeralPort(value string) bool {
	ap, err := netip.ParseAddrPort(value)
	return err != nil || ap.Port() == 0
}

// controlAddresses checks the addresses of the control processes.
func (c *checker) controlAddresses(addresses []string) []string {
	const path = "cluster.controls"
	if len(addresses) == 0 {
		c.AddMissing(path, `controls = ["10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"]`)
	}
	for i, a := range addresses {
		elementPath := path + "." + strconv.Itoa(i)
		c.address(elementPath, a)
		if slices.Contains(addresses[:i], a) {
			c.AddError(elementPath, strconv.Quote(a)+" is given twice", "write each control process once")
		}
	}
	return slices.Clone(addresses)
}

// millis checks a duration in milliseconds, from minDuration to limit.
func (c *checker) millis(path string, value int64, defaultValue, limit time.Duration) time.Duration {
	if !c.Has(path) {
		return defaultValue
	}
	if value < minDuration.Milliseconds() || value > limit.Milliseconds() {
		c.AddError(path, strconv.FormatInt(value, 10)+" is not a valid duration", "write "+formatMillis(minDuration)+" to "+formatMillis(limit)+" milliseconds, without quotes")
		return defaultValue
	}
	return time.Duration(value) * time.Millisecond
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// count checks an integer from 1 to limit.
func (c *checker) count(path string, value, defaultValue, limit int64) int64 {
	if !c.Has(path) {
		return defaultValue
	}
	if value < 1 || value > limit {
		c.AddError(path, strconv.FormatInt(value, 10)+" is out of range", "write 1 to "+strconv.FormatInt(limit, 10))
		return defaultValue
	}
	return value
}

// oneOf checks that value is one of choices; the first one is the default.
func (c *checker) oneOf(path, value string, choices ...string) string {
	if c.Has(path) && c.CheckChoice(path, value, choices...) {
		return value
	}
	return choices[0]
}
