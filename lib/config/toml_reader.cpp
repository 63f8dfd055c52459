#include "amberpin/config/toml_reader.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#define TOML_EXCEPTIONS 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

// NOLINTNEXTLINE(misc-no-recursion): the parser refuses values nested deeper than 256
static void walk(const toml::node &node, const std::string &path, amb_toml_visit visit, void *arg) {
    if (const auto *table = node.as_table()) {
        for (auto &&[key, value] : *table)
            walk(value, path.empty() ? std::string(key.str()) : path + "." + std::string(key.str()), visit,
                 arg);
    } else if (const auto *array = node.as_array()) {
        size_t i = 0;
        for (auto &&value : *array) walk(value, path + "[" + std::to_string(i++) + "]", visit, arg);
    } else if (const auto *text = node.as_string()) {
        visit(arg, path.c_str(), AMB_TOML_TEXT, text->get().c_str(), 0);
    } else if (const auto *integer = node.as_integer()) {
        visit(arg, path.c_str(), AMB_TOML_NUMBER, "", static_cast<double>(integer->get()));
    } else if (const auto *real = node.as_floating_point()) {
        visit(arg, path.c_str(), AMB_TOML_NUMBER, "", real->get());
    } else {
        visit(arg, path.c_str(), AMB_TOML_OTHER, "", 0);
    }
}

extern "C" enum amb_toml_result amb_toml_read(const char *path, amb_toml_visit visit, void *arg, char *error,
                                              unsigned long error_size) {
    try {
        std::ifstream in(path);
        if (!in) {
            snprintf(error, error_size, "%s: can't be opened", path);
            return AMB_TOML_UNREADABLE;
        }
        std::stringstream text;
        text << in.rdbuf();
        toml::table table = toml::parse(text.str());
        walk(table, "", visit, arg);
        return AMB_TOML_OK;
    } catch (const toml::parse_error &exception) {
        snprintf(error, error_size, "%s: line %u: %s", path,
                 static_cast<unsigned>(exception.source().begin.line),
                 std::string(exception.description()).c_str());
    } catch (const std::exception &exception) {
        snprintf(error, error_size, "%s: %s", path, exception.what());
    }
    return AMB_TOML_MALFORMED;
}
