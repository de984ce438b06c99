package inifile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Collector parses typed values and collects all problems; its zero value is ready to use. Its methods return the zero value
// for a value that is absent or invalid.
type Collector struct {
	Problems Problems
}

// Add appends a problem.
func (c *Collector) Add(at Line, what, remedy string) { c.Problems.Add(at, what, remedy) }

// Text returns the text of a key.
func (c *Collector) Text(s Section, key string) string {
	v, _ := s.Value(key)
	return v.Text
}

// Name returns a name and reports one that is not in kebab case or too long.
func (c *Collector) Name(s Section, key string) string {
	v, ok := s.Value(key)
	if ok && !ValidName(v.Text) {
		c.Add(v.Line, fmt.Sprintf("%s = %s is not a name", key, v.Text), NameRemedy)
		return ""
	}
	return v.Text
}

// Names returns the names of a list that is separated by commas and reports those that are invalid or repeated.
func (c *Collector) Names(s Section, key string) []string {
	var names []string
	for _, name := range c.List(s, key) {
		if !ValidName(name) {
			c.Add(s.LineOf(key), fmt.Sprintf("%q in %s is not a name", name, key), NameRemedy)
			continue
		}
		names = append(names, name)
	}
	return names
}

// List returns the items of a list that is separated by commas and reports those that are empty or repeated.
func (c *Collector) List(s Section, key string) []string {
	v, ok := s.Value(key)
	if !ok {
		return nil
	}
	var items []string
	seen := map[string]bool{}
	for item := range strings.SplitSeq(v.Text, ",") {
		item = strings.TrimSpace(item)
		switch {
		case item == "":
			c.Add(v.Line, key+" has an empty item", "separate the items by single commas")
		case seen[item]:
			c.Add(v.Line, fmt.Sprintf("%s names %s twice", key, item), "remove one of them")
		default:
			seen[item] = true
			items = append(items, item)
		}
	}
	return items
}

// Bool returns true for yes and false for no, and reports any other value.
func (c *Collector) Bool(s Section, key string) bool {
	v, ok := s.Value(key)
	if ok && v.Text != "yes" && v.Text != "no" {
		c.Add(v.Line, fmt.Sprintf("%s = %s is not a choice", key, v.Text), "write yes or no")
	}
	return v.Text == "yes"
}

// Int returns a whole number from low to high, both included.
func (c *Collector) Int(s Section, key string, low, high int) int {
	v, ok := s.Value(key)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v.Text)
	if err != nil || n < low || n > high {
		c.Add(v.Line, fmt.Sprintf("%s = %s is out of range", key, v.Text),
			fmt.Sprintf("write a whole number from %d to %d", low, high))
		return 0
	}
	return n
}

// Duration returns a duration in whole milliseconds from 1 ms to maxDuration.
func (c *Collector) Duration(s Section, key string, maxDuration time.Duration) time.Duration {
	v, ok := s.Value(key)
	if !ok {
		return 0
	}
	if c.reportMissingUnit(v, key, "s or ms") {
		return 0
	}
	d, err := time.ParseDuration(v.Text)
	if err != nil {
		c.Add(v.Line, fmt.Sprintf("%s = %s is not a duration", key, v.Text), "write a number with a unit, as in 500ms, 2s or 1m")
		return 0
	}
	if d < time.Millisecond || d > maxDuration || d%time.Millisecond != 0 {
		c.Add(v.Line, fmt.Sprintf("%s = %s is out of range", key, v.Text),
			fmt.Sprintf("write whole milliseconds from 1ms to %s", maxDuration))
		return 0
	}
	return d
}

// byteUnits are in descending order: FormatBytes uses the first unit that fits, and B is last since every suffix ends with B.
var byteUnits = []struct {
	suffix string
	size   int64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// Bytes returns a size from 1 byte to maxBytes in bytes; 1KB is 1024 bytes.
func (c *Collector) Bytes(s Section, key string, maxBytes int64) int64 {
	v, ok := s.Value(key)
	if !ok {
		return 0
	}
	if c.reportMissingUnit(v, key, "KB, MB or GB") {
		return 0
	}
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(v.Text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil {
			break
		}
		if n < 1 || n > maxBytes/u.size {
			c.Add(v.Line, fmt.Sprintf("%s = %s is out of range", key, v.Text), "write a size from 1B to "+FormatBytes(maxBytes))
			return 0
		}
		return n * u.size
	}
	c.Add(v.Line, fmt.Sprintf("%s = %s is not a size", key, v.Text), "write a whole number with a unit, as in 64KB or 20MB")
	return 0
}

// FormatBytes formats a size of n bytes in the largest unit that represents it exactly.
func FormatBytes(n int64) string {
	for _, u := range byteUnits {
		if n >= u.size && n%u.size == 0 {
			return fmt.Sprintf("%d%s", n/u.size, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", n)
}

// Percent returns a percentage above 0% and below 100% as a fraction of 1.
func (c *Collector) Percent(s Section, key string) float64 {
	v, ok := s.Value(key)
	if !ok {
		return 0
	}
	if c.reportMissingUnit(v, key, "%") {
		return 0
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(v.Text, "%")), 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n >= 100 || !strings.HasSuffix(v.Text, "%") {
		c.Add(v.Line, fmt.Sprintf("%s = %s is out of range", key, v.Text), "write a share above 0% and below 100%, as in 99.9%")
		return 0
	}
	return n / 100
}

// reportMissingUnit reports a value that is a number without a unit, and returns whether it is one.
func (c *Collector) reportMissingUnit(v Value, key, units string) bool {
	if _, err := strconv.ParseFloat(v.Text, 64); err != nil {
		return false
	}
	c.Add(v.Line, fmt.Sprintf("%s = %s has no unit", key, v.Text), "add the unit: "+units)
	return true
}
