// Package sqsettings reads the settings file of a process and checks all of it
// before the process opens a port.
package sqsettings

import (
	"os"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
)

// ReadControl reads and checks the settings of a control process. It returns
// the settings, or every fault in the file.
func ReadControl(path string) (*Control, []*sqerror.Error) {
	data, fault := readFile(path)
	if fault != nil {
		return nil, []*sqerror.Error{fault}
	}
	return ParseControl(path, data)
}

// ParseControl checks the content of the settings file of a control process.
func ParseControl(path string, data []byte) (*Control, []*sqerror.Error) {
	var f controlFile
	c := &checker{sqtoml.NewChecker(path, data, &f)}
	settings := f.toControl(c)
	if faults := c.Errors(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// ReadEntry reads and checks the settings of an entry process. It returns the
// settings, or every fault in the file.
func ReadEntry(path string) (*Entry, []*sqerror.Error) {
	data, fault := readFile(path)
	if fault != nil {
		return nil, []*sqerror.Error{fault}
	}
	return ParseEntry(path, data)
}

// ParseEntry checks the content of the settings file of an entry process.
func ParseEntry(path string, data []byte) (*Entry, []*sqerror.Error) {
	var f entryFile
	c := &checker{sqtoml.NewChecker(path, data, &f)}
	settings := f.toEntry(c)
	if faults := c.Errors(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

func readFile(path string) ([]byte, *sqerror.Error) {
	data, err := os.ReadFile(path)
	if err == nil {
		return data, nil
	}
	return nil, sqerror.New(sqerror.Config{
		Kind:     sqerror.BadSetting,
		Position: sqerror.Position{File: path},
		Detail:   "cannot be read",
		Advice:   "give the path of a readable settings file",
		Cause:    err,
	})
}

// ReadCoordinator reads and checks the settings of a coordinator. It returns the
// settings, or every fault in the file.
func ReadCoordinator(path string) (*Coordinator, []*sqerror.Error) {
	data, fault := readFile(path)
	if fault != nil {
		return nil, []*sqerror.Error{fault}
	}
	return ParseCoordinator(path, data)
}

// ParseCoordinator checks the content of the settings file of a coordinator.
func ParseCoordinator(path string, data []byte) (*Coordinator, []*sqerror.Error) {
	var f coordinatorFile
	c := &checker{sqtoml.NewChecker(path, data, &f)}
	settings := f.toCoordinator(c)
	if faults := c.Errors(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// ReadGateway reads and checks the settings of a gateway. It returns the
// settings, or every fault in the file.
func ReadGateway(path string) (*Gateway, []*sqerror.Error) {
	data, fault := readFile(path)
	if fault != nil {
		return nil, []*sqerror.Error{fault}
	}
	return ParseGateway(path, data)
}

// ParseGateway checks the content of the settings file of a gateway.
func ParseGateway(path string, data []byte) (*Gateway, []*sqerror.Error) {
	var f gatewayFile
	c := &checker{sqtoml.NewChecker(path, data, &f)}
	settings := f.toGateway(c)
	if faults := c.Errors(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}
