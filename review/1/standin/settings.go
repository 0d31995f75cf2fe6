package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// role is a role of the deploy file.
type role struct {
	run, template string
}

// readDeployFile reads the commands and the templates of the roles.
func readDeployFile(file string) (map[string]role, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	name := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if section, ok := strings.CutPrefix(line, "[roles."); ok {
			name = strings.TrimSuffix(section, "]")
			continue
		}
		key, value, ok := strings.Cut(line, " = ")
		if !ok || name == "" {
			continue
		}
		r := roles[name]
		switch key {
		case "run":
			r.run, err = strconv.Unquote(value)
		case "template":
			r.template, err = strconv.Unquote(value)
		}
		if err != nil {
			return nil, err
		}
		roles[name] = r
	}
	return roles, nil
}

// settingsFields returns the fields that the platform fills in for a process, with the
// bounds of the installation compostaje-andino.
func (l *lab) settingsFields(p *process) map[string]any {
	var seeds []any
	for i := range coordinatorsInGroup {
		seeds = append(seeds, l.address(firstCoordinator+i, controlPort))
	}
	return map[string]any{
		"node": p.name, "role": p.role, "ip": fmt.Sprintf("%s%d", l.network, p.host), "zone": "valle-a", "region": "valle-centro",
		"internalPorts": []any{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": true,
		"dataDir":  filepath.Join(l.folder, p.name+"-data"),
		"tolerate": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"revokeMs": 5000, "leaseMs": 3000, "requireFence": false, "configApplyMs": 2000, "drainMs": 3000, "reportWindowS": 5, "graceS": 8,
			"retryBudgetRatio": 0.2, "budgetExtraRetries": 54, "budgetWindowS": 10,
		},
		"listen": map[string]any{
			"front": l.address(p.host, frontPort), "ready": l.address(p.host, readyPort),
			"directory": l.address(p.host, directoryPort), "control": l.address(p.host, controlPort),
		},
		"cloud": map[string]any{"address": l.address(platformHost, platformPort)},
	}
}

// fillTemplate fills in the placeholders and sections that the project's templates use.
func fillTemplate(text string, fields map[string]any) (string, error) {
	var b strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		b.WriteString(before)
		if !ok {
			return b.String(), nil
		}
		tag, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("a placeholder has no end: %q", rest)
		}
		text = after
		name, isSection := strings.CutPrefix(tag, "#")
		if !isSection {
			b.WriteString(placeholder(tag, fields))
			continue
		}
		inner, after, ok := strings.Cut(text, "{{/"+name+"}}")
		if !ok {
			return "", fmt.Errorf("section %s has no end", name)
		}
		text = after
		filled, err := fillSection(inner, lookUp(name, fields), fields)
		if err != nil {
			return "", err
		}
		b.WriteString(filled)
	}
}

// fillSection fills in a section once for each entry of a list, or once for another value.
func fillSection(inner string, value any, fields map[string]any) (string, error) {
	list, isList := value.([]any)
	if !isList {
		if value == nil || value == false {
			return "", nil
		}
		return fillTemplate(inner, fields)
	}
	var b strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{.}}", fmt.Sprint(entry), "{{,}}", comma).Replace(inner))
	}
	return b.String(), nil
}

func placeholder(tag string, fields map[string]any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookUp(name, fields)
	if asJSON {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// lookUp returns the value of a name like "listen.front" or "internalPorts.0", or nil.
func lookUp(name string, fields map[string]any) any {
	var value any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
