package conf

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// schemaOf returns the type that v points to.
func schemaOf(v any) reflect.Type { return reflect.TypeOf(v).Elem() }

// checkMembers reports JSON members that the schema, a struct type, does not define. The standard decoder stops at
// the first one, does not give its path and matches names case-insensitively.
func checkMembers(value any, schema reflect.Type, path string, e *Error) {
	switch v := value.(type) {
	case map[string]any:
		if schema.Kind() == reflect.Struct {
			checkObject(v, schema, path, e)
		}
	case []any:
		if schema.Kind() != reflect.Slice {
			return
		}
		for i, element := range v {
			checkMembers(element, schema.Elem(), path+"["+strconv.Itoa(i)+"]", e)
		}
	}
}

func checkObject(object map[string]any, schema reflect.Type, path string, e *Error) {
	for _, name := range sortedNames(object) {
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldOf(schema, name)
		if !ok {
			e.addf("%s: unknown member", memberPath)
			continue
		}
		checkMembers(object[name], field.Type, memberPath, e)
	}
}

func sortedNames(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fieldOf returns the struct field whose JSON name is name.
func fieldOf(schema reflect.Type, name string) (reflect.StructField, bool) {
	for i := range schema.NumField() {
		if schema.Field(i).Tag.Get("json") == name {
			return schema.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
