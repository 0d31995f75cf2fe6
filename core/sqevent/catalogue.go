package sqevent

// Events 1000 to 1999: all processes.
var (
	Started  = Event{1001, Info, "process started", []string{"role", "name", "zone", "address"}}
	Stopping = Event{1002, Info, "process stopping", []string{"role", "name", "reason"}}
	Stopped  = Event{1003, Info, "process stopped", []string{"role", "name"}}
	Failed   = Event{1004, Error, "process failed", []string{"role", "name", "error"}}

	SettingsReloaded = Event{1005, Info, "settings reloaded", []string{"role", "seeds"}}
	SettingsKept     = Event{1006, Error, "changed settings are invalid and not applied", []string{"role", "error"}}
	LogLinesDropped  = Event{1007, Warn, "log lines were dropped", []string{"lines"}}
	CallerOverMemory = Event{1008, Warn, "caller refused or closed, the process has no room for it", []string{"listener", "caller", "reason", "usedBytes", "limitBytes", "connections", "maxConnections", "unreported"}}
)

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	all := []Event{Started, Stopping, Stopped, Failed, SettingsReloaded, SettingsKept, LogLinesDropped, CallerOverMemory}
	all = append(all, replicaEvents...)
	all = append(all, controlEvents...)
	all = append(all, entryEvents...)
	all = append(all, coordinatorEvents...)
	all = append(all, gatewayEvents...)
	return all
}
