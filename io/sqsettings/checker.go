package sqsettings

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sequoiadock/core/sqtoml"
)

// checker collects the faults of one file.
type checker struct {
	*sqtoml.Checker
}

func (c *checker) required(path, value, example string) string {
	if value == "" {
		c.AddMissing(path, example)
	}
	return value
}

// name checks a name that others refer to.
func (c *checker) name(path, value string) string {
	c.CheckName(path, value)
	return value
}

// listen checks an address to listen on, which may leave the port open.
func (c *checker) listen(path, value string) string {
	if c.required(path, value, `"127.0.0.1:0"`) == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.AddError(path, strconv.Quote(value)+" is no address", `write an IP number and a port, such as "10.0.0.1:7000"`)
	}
	return value
}

// address checks an address that others connect to.
func (c *checker) address(path, value string) string {
	if c.required(path, value, `"10.0.0.1:7000"`) == "" {
		return ""
	}
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.AddError(path, strconv.Quote(value)+" is no address to connect to", `write an IP number and a port, such as "10.0.0.1:7000"`)
	}
	return value
}

func (c *checker) optionalAddress(path, value string) string {
	if value == "" && !c.Has(path) {
		return ""
	}
	return c.address(path, value)
}

func freePort(value string) bool {
	ap, err := netip.ParseAddrPort(value)
	return err != nil || ap.Port() == 0
}

// controls checks the addresses of the replicas.
func (c *checker) controls(addresses []string) []string {
	const path = "cluster.controls"
	if len(addresses) == 0 {
		c.AddMissing(path, `controls = ["10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"]`)
	}
	for i, a := range addresses {
		at := path + "." + strconv.Itoa(i)
		c.address(at, a)
		if slices.Contains(addresses[:i], a) {
			c.AddError(at, strconv.Quote(a)+" is given twice", "write each control process once")
		}
	}
	return slices.Clone(addresses)
}

// millis checks a period in milliseconds.
func (c *checker) millis(path string, value int64, unset, most time.Duration) time.Duration {
	if !c.Has(path) {
		return unset
	}
	if value < shortest.Milliseconds() || value > most.Milliseconds() {
		c.AddError(path, strconv.FormatInt(value, 10)+" is not a possible time", "write "+millis(shortest)+" to "+millis(most)+" milliseconds, without quotes")
		return unset
	}
	return time.Duration(value) * time.Millisecond
}

func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// count checks a number of things.
func (c *checker) count(path string, value, unset, most int64) int64 {
	if !c.Has(path) {
		return unset
	}
	if value < 1 || value > most {
		c.AddError(path, strconv.FormatInt(value, 10)+" is out of range", "write 1 to "+strconv.FormatInt(most, 10))
		return unset
	}
	return value
}

// oneOf checks a choice; the first one is the default.
func (c *checker) oneOf(path, value string, choices ...string) string {
	if c.Has(path) && c.CheckChoice(path, value, choices...) {
		return value
	}
	return choices[0]
}
