#include "amberpin/config/toml_reader.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#define TOML_EXCEPTIONS 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

// NOLINTNEXTLINE(misc-no-recursion): the parser refuses values nested deeper than 256
static void walk(const toml::node &node, const std::string &path, amb_toml_visit fn, void *arg) {
    if (const auto *table = node.as_table()) {
        for (auto &&[key, value] : *table)
            walk(value, path.empty() ? std::string(key.str()) : path + "." + std::string(key.str()), fn, arg);
    } else if (const auto *array = node.as_array()) {
        size_t i = 0;
        for (auto &&value : *array) walk(value, path + "[" + std::to_string(i++) + "]", fn, arg);
    } else if (const auto *text = node.as_string()) {
        fn(arg, path.c_str(), AMB_TOML_TEXT, text->get().c_str(), 0);
    } else if (const auto *integer = node.as_integer()) {
        fn(arg, path.c_str(), AMB_TOML_NUMBER, "", static_cast<double>(integer->get()));
    } else if (const auto *real = node.as_floating_point()) {
        fn(arg, path.c_str(), AMB_TOML_NUMBER, "", real->get());
    } else {
        fn(arg, path.c_str(), AMB_TOML_OTHER, "", 0);
    }
}

extern "C" int amb_toml_read(const char *path, amb_toml_visit fn, void *arg, char *err, unsigned long cap) {
    try {
        std::ifstream in(path);
        if (!in) {
            snprintf(err, cap, "%s: can't be opened", path);
            return -1;
        }
        std::stringstream text;
        text << in.rdbuf();
        toml::table table = toml::parse(text.str());
        walk(table, "", fn, arg);
        return 0;
    } catch (const toml::parse_error &e) {
        snprintf(err, cap, "%s: line %u: %s", path, static_cast<unsigned>(e.source().begin.line),
                 std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        snprintf(err, cap, "%s: %s", path, e.what());
    }
    return -1;
}
