// Package strictyaml decodes YAML files into structs and reports every unknown
// field, repeated field and wrong type with its file, line, column and path.
package strictyaml

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxSize of a file in bytes. The files are written by people; the bound keeps
// the parser's memory small.
const MaxSize = 4 << 20

// Positions maps the paths of the fields in a file to their places.
type Positions struct {
	file   string
	places map[string]*token.Position
}

// Decode decodes the source into target, a pointer to a struct whose fields have
// yaml tags. If anything is wrong, the error is of type Errors and holds all
// faults. Fields that are absent keep the value that target has.
func Decode(file string, source []byte, target any) (*Positions, error) {
	d := &decoder{
		positions: &Positions{
			file:   file,
			places: map[string]*token.Position{},
		},
	}
	if len(source) > MaxSize {
		d.fail("", nil, fmt.Sprintf("the file has %d bytes, more than %d", len(source), MaxSize))
		return d.positions, d.errors
	}
	parsed, err := parser.ParseBytes(source, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.failWith("", nil, err)
		return d.positions, d.errors
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.fail("", nil, "the file must hold one YAML document")
		return d.positions, d.errors
	}
	d.decode("", parsed.Docs[0].Body, reflect.ValueOf(target).Elem())
	return d.positions, d.errors.Or()
}

// ErrorAt returns a fault of the field at path, placed at the field or at the
// nearest enclosing field that the file has.
func (p *Positions) ErrorAt(path, message string) *Error {
	fault := &Error{
		File:    p.file,
		Field:   path,
		Message: message,
	}
	for place := path; ; place = place[:strings.LastIndexAny(place, ".[")] {
		if position, ok := p.places[place]; ok {
			fault.Line = position.Line
			fault.Column = position.Column
			return fault
		}
		if !strings.ContainsAny(place, ".[") {
			break
		}
	}
	if position, ok := p.places[""]; ok {
		fault.Line = position.Line
		fault.Column = position.Column
	}
	return fault
}

type decoder struct {
	positions *Positions
	errors    Errors
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *decoder) decode(path string, node ast.Node, target reflect.Value) {
	if _, known := d.positions.places[path]; !known {
		d.positions.places[path] = node.GetToken().Position
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.fail(path, node, "anchors, aliases and tags are not supported")
		return
	}
	kind := target.Kind()
	switch {
	case kind == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(path, node, target.Elem())
	case target.Type() == durationType:
		d.decodeDuration(path, node, target)
	case target.Addr().Type().Implements(textUnmarshalerType):
		d.decodeText(path, node, target)
	case kind == reflect.Struct:
		d.decodeStruct(path, node, target)
	case kind == reflect.Slice:
		d.decodeSlice(path, node, target)
	default:
		d.decodeScalar(path, node, target)
	}
}

func (d *decoder) decodeDuration(path string, node ast.Node, target reflect.Value) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.fail(path, node, "must be a duration with a unit, e.g. 500ms or 5s")
		return
	}
	duration, err := time.ParseDuration(text.Value)
	if err != nil {
		d.fail(path, node, "must be a duration with a unit, e.g. 500ms or 5s; got "+text.Value)
		return
	}
	target.SetInt(int64(duration))
}

func (d *decoder) decodeScalar(path string, node ast.Node, target reflect.Value) {
	wanted, ok := checkScalar(node, target.Kind())
	if !ok {
		d.fail(path, node, fmt.Sprintf("must be %s, not %s", wanted, strings.ToLower(node.Type().String())))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface(), yaml.Strict()); err != nil {
		d.failWith(path, node, err)
	}
}

func (d *decoder) decodeSlice(path string, node ast.Node, target reflect.Value) {
	if _, empty := node.(*ast.NullNode); empty {
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fail(path, node, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		d.decode(fmt.Sprintf("%s[%d]", path, i), value, target.Index(i))
	}
}

func (d *decoder) decodeStruct(path string, node ast.Node, target reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.fail(path, node, "must be a mapping of fields")
		return
	}
	fields := fieldsOf(target)
	seen := map[string]bool{}
	for _, value := range mapping.Values {
		name := value.Key.GetToken().Value
		child := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		if !known {
			d.fail(child, value.Key, "unknown field")
			continue
		}
		if seen[name] {
			d.fail(child, value.Key, "the field is given twice")
			continue
		}
		seen[name] = true
		d.positions.places[child] = value.Key.GetToken().Position
		d.decode(child, value.Value, field)
	}
}

func (d *decoder) decodeText(path string, node ast.Node, target reflect.Value) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.fail(path, node, "must be a text")
		return
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text.Value)); err != nil {
		d.fail(path, node, err.Error())
	}
}

func (d *decoder) fail(path string, node ast.Node, message string) {
	fault := d.positions.ErrorAt(path, message)
	if node != nil {
		fault.Line = node.GetToken().Position.Line
		fault.Column = node.GetToken().Position.Column
	}
	d.errors = append(d.errors, fault)
}

func (d *decoder) failWith(path string, node ast.Node, err error) {
	d.fail(path, node, err.Error())
	var located yaml.Error
	if !errors.As(err, &located) {
		return
	}
	last := d.errors[len(d.errors)-1]
	last.Message = located.GetMessage()
	if location := located.GetToken(); location != nil && node == nil {
		last.Line = location.Position.Line
		last.Column = location.Position.Column
	}
}

// checkScalar tells whether a node has the type for a kind of field, because the
// library converts between numbers and texts silently.
func checkScalar(node ast.Node, kind reflect.Kind) (wanted string, ok bool) {
	switch kind {
	case reflect.Bool:
		_, ok = node.(*ast.BoolNode)
		return "true or false", ok
	case reflect.Float32, reflect.Float64:
		switch node.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return "", true
		}
		return "a number", false
	case reflect.String:
		switch node.(type) {
		case *ast.StringNode, *ast.LiteralNode:
			return "", true
		}
		return "a text (quote it if needed)", false
	default:
		_, ok = node.(*ast.IntegerNode)
		return "a whole number", ok
	}
}

func fieldsOf(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = target.Field(i)
		}
	}
	return fields
}
