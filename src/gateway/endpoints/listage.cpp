#include "gateway/endpoints/listage.h"

namespace cranberry {

ListAge listAgeOf(DurationMs age, DurationMs bound)
{
    if (age > bound - ListSendMargin)
        return ListAge::Expired;
    if (age * 5 > bound * 3)
        return ListAge::Overdue;
    return age * 2 > bound ? ListAge::Late : ListAge::Usual;
}

const char *toText(ListAge age)
{
    switch (age) {
    case ListAge::Usual:
        return "usual";
    case ListAge::Late:
        return "late";
    case ListAge::Overdue:
        return "overdue";
    case ListAge::Expired:
        return "expired";
    }
    return "";
}

} // namespace cranberry
