// Package sqfailure has the error type of the stand-ins, the simulated
// endpoints and platform that tests run against. It is separate because the
// stand-ins share no code with the product.
package sqfailure

// Config describes a Failure.
type Config struct {
	// Action is the operation that failed, such as "open record".
	Action string
	Detail string
	Cause  error
}

// Failure is an error of an operation of a stand-in.
type Failure struct {
	cfg Config
}

// New returns the failure that cfg describes.
func New(cfg Config) *Failure {
	return &Failure{cfg: cfg}
}

// Action returns the operation that failed.
func (f *Failure) Action() string { return f.cfg.Action }

// Error returns the action, the detail and the cause, separated by colons.
func (f *Failure) Error() string {
	s := f.cfg.Action
	if f.cfg.Detail != "" {
		s += ": " + f.cfg.Detail
	}
	if f.cfg.Cause != nil {
		s += ": " + f.cfg.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.cfg.Cause }
